package server

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"woodproxy/duties"
	"woodproxy/negativecache"
	"woodproxy/rebalance"
)

// exampleConfig is a valid configuration with an unknown key, which is ignored.
const exampleConfig = `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f",` +
	`"limits":{"cores":1.5},"settings":` + settingsJSON + `,"new":1}`

// badValue is a replacement in a text, and a part of the error that it causes.
type badValue struct{ from, to, want string }

var badConfigurations = []badValue{
	{`"name":"n1",`, ``, "name: missing"},
	{`"listen":"127.0.0.1:1"`, `"listen":7`, "listen: mistyped"},
	{`127.0.0.1:2`, `nowhere`, "discovery: no address"},
	{`"new":1`, `"management":7`, "management: mistyped"},
	{`"new":1`, `"management":"here"`, "management: no address"},
	{`"new":1`, `"management":"127.0.0.1:1"`, "management: same address as listen"},
	{`"seed":"8c1f"`, `"seed":"xyz"`, "seed: mistyped"},
	{`"cores":1.5`, `"cores":"many"`, "limits.cores: mistyped"},
	{`"cores":1.5`, `"sockets":9`, "limits.sockets"},
	{`"settings"`, `"sittings"`, "settings: missing"},
	{`"value":5,"effect":"pure"`, `"value":5`, "effect: missing"},
	{`"effect":"pure"`, `"effect":"maybe"`, "effect: out of its range"},
	{`"effect":"pure"`, `"effect":7`, "routes[0].effect: mistyped"},
	{`"latency-objective":600,`, ``, "routes[0].latency-objective: missing"},
	{`"latency-objective":600`, `"latency-objective":0`, "routes[0].latency-objective: out of its range"},
	{`"overall-timeout":1200`, `"overall-timeout":0`, "routes[0].overall-timeout: out of its range"},
	{`"value":5`, `"value":-1`, "routes[0].value: out of its range"},
	{`"dedup-window":6000`, `"dedup-window":-6000`, "routes[1].dedup-window: out of its range"},
	{`{"name":"put"`, `{"name":"read"`, "routes[1].name: doubled"},
	{`"tick":5`, `"tick":5,"membership-mode":"guess"`, "membership-mode: out of its range"},
	{`"tick":5`, `"tick":5,"tenants":[{"name":"t","allowance-per-s":-3}]`, "tenants[0].allowance-per-s: out of its range"},
	{`"may-cancel":true`, `"may-cancel":"maybe"`, "limits.may-cancel: mistyped"},
	{`"tick":5`, `"tick":"five"`, "tick: mistyped"},
	{`{"name":"n1"`, `{"name":`, "not a JSON object"},
	{`"replicas-of-me":1,`, ``, "replicas-of-me: missing"},
	{`"replicas-of-me":1`, `"replicas-of-me":0`, "replicas-of-me: out of its range"},
	{`"may-cancel"`, `"may-tell":true,"may-cancel"`, "me: missing"},
	{`"may-cancel"`, `"may-tell":7,"may-cancel"`, "limits.may-tell: mistyped"},
	{`"tick":5`, `"tick":5,"me":"x"`, "me: mistyped"},
	{`"tick":5`, `"tick":5,"me":1`, "me: out of its range"},
	{`"value":5,`, `"value":5,"overdue-value":1.5,`, "overdue-value: out of its range"},
	{`"tick":5`, `"tick":5,"fees":{"origin":-1}`, "fees.origin: out of its range"},
	{`"tick":5`, `"tick":5,"fees":{"origin":"x"}`, "fees.origin: mistyped"},
	{`"new":1`, `"watch":7`, "watch: mistyped"},
	{`"new":1`, `"watch":{"tick":"x"}`, "watch: setup tick: mistyped"},
	{`"new":1`, `"watch":{"replicas-of-me":3,"limits":{"may-tell":true}}`, "watch: setup me: missing"},
	{`"new":1`, `"watch":{"routes":[]}`, "watch: setup routes: none"},
}

// readText reads a configuration file with the given text.
func readText(t *testing.T, text string) (*Config, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, file, text)
	return Read(file, Config{})
}

// requireOneLine requires an error of one line that contains all parts.
func requireOneLine(t *testing.T, err error, parts ...string) {
	t.Helper()
	if err == nil || strings.Contains(err.Error(), "\n") {
		t.Fatalf("error %v, want one line", err)
	}
	for _, part := range parts {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("error %v, want %q in it", err, part)
		}
	}
}

// TestReadRejectsBadConfiguration checks that an invalid configuration leads to an error of one line that names the key.
func TestReadRejectsBadConfiguration(t *testing.T) {
	if _, err := readText(t, exampleConfig); err != nil {
		t.Fatal(err)
	}
	for _, c := range badConfigurations {
		t.Run(c.want, func(t *testing.T) {
			text := strings.Replace(exampleConfig, c.from, c.to, 1)
			if text == exampleConfig {
				t.Fatalf("no %s in the configuration", c.from)
			}
			_, err := readText(t, text)
			requireOneLine(t, err, c.want)
		})
	}
	if _, err := Read("", Config{}); err == nil {
		t.Error("got no error without a file name")
	}
}

func TestReadTakesManagementAddress(t *testing.T) {
	if _, err := readText(t, strings.Replace(exampleConfig, `"new":1`, `"management":"127.0.0.1:9"`, 1)); err != nil {
		t.Error(err)
	}
}

// TestReadPrefersOverrides checks that the name and addresses of overrides take precedence over the file.
func TestReadPrefersOverrides(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, file, exampleConfig)
	config, err := Read(file, Config{Name: "n2", Listen: "127.0.0.1:3"})
	if err != nil || config.Name != "n2" || config.Listen != "127.0.0.1:3" {
		t.Errorf("%+v, %v, want the name n2 and the address 127.0.0.1:3", config, err)
	}
}

// zoneRegion returns a region table of a zone health file.
func zoneRegion(name, zones string) string {
	return "[[region]]\nname = \"" + name + "\"\nzones = [" + zones + "]\n"
}

// TestReadRejectsBadZoneHealthFile checks that an invalid zone health file leads to an error of one line that names the
// file and the key.
func TestReadRejectsBadZoneHealthFile(t *testing.T) {
	dir := t.TempDir()
	file, configFile := filepath.Join(dir, "zones.toml"), filepath.Join(dir, "config.json")
	writeFile(t, configFile, `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f","settings":`+
		strings.Replace(settingsJSON, `"tick"`, `"zones":["a","b","c"],"locality":"a","tick"`, 1)+`}`)
	read := func(t *testing.T, text string) (*Config, error) {
		t.Helper()
		writeFile(t, file, text)
		return Read(configFile, Config{ZoneHealthFile: file})
	}
	config, err := read(t, "voices = 0.3\n"+zoneRegion("east", `"b", "c"`))
	if err != nil {
		t.Fatal(err)
	}
	if z := config.ZoneHealth; z.Zone != "a" || z.ProxyName != "n1" || z.VoteFraction != 0.3 || len(z.Regions) != 1 {
		t.Fatalf("%+v", z)
	}
	for _, c := range []struct{ text, want string }{
		{"voice = 0.2\n", "voice: unknown"},
		{"voices = 1.5\n", "voices: 1.5"},
		{"quiet_ms = 1.0\n", "quiet_ms: 1:"},
		{"settle_ms = -1.0\n", "settle_ms: -1"},
		{"hold_ms = 5000.0\nmost_hold_ms = 100.0\n", "most_hold_ms: 100"},
		{"step_ms = \"x\"\n", "step_ms"},
		{"zones = [\"a\", \"a\"]\n", `zones: "a": empty, too long or duplicate`},
		{"zones = [\"a\", \"q\"]\n", `zones: "q": not a zone of the settings`},
		{"zones = [\"b\", \"c\"]\n", `zone: "a": not one of the zones`},
		{zoneRegion("a", `"b", "c"`), `region[0].name: "a"`},
		{zoneRegion("east", `"b", "c"`) + zoneRegion("east", `"a", "b"`), `region[1].name: "east"`},
		{zoneRegion("east", `"b", "c"`) + zoneRegion("west", `"a", "b"`), `region[1].zones: "b": already in region east`},
		{zoneRegion("east", `"b", "q"`), `region[0].zones: "q"`},
		{zoneRegion("east", `"b"`), "fewer than two zones"},
	} {
		t.Run(c.want, func(t *testing.T) {
			_, err := read(t, c.text)
			requireOneLine(t, err, c.want, file)
		})
	}
	if _, err := Read(configFile, Config{ZoneHealthFile: file + "x"}); err == nil {
		t.Error("got no error for a file that does not exist")
	}
}

// policyFileDir holds the names of a configuration file of a fleet of three proxies, a gossip file and one policy file.
type policyFileDir struct{ config, gossip, policy string }

func newPolicyFileDir(t *testing.T) policyFileDir {
	t.Helper()
	dir := t.TempDir()
	files := policyFileDir{
		config: filepath.Join(dir, "config.json"),
		gossip: filepath.Join(dir, "peers.toml"),
		policy: filepath.Join(dir, "part.toml"),
	}
	writeFile(t, files.config, `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f","settings":`+
		strings.Replace(settingsJSON, `"replicas-of-me":1`, `"replicas-of-me":3`, 1)+`}`)
	writeFile(t, files.gossip, "cluster = \"c\"\nlisten = \"127.0.0.1:7946\"\n")
	return files
}

// TestReadRejectsBadPolicyFiles checks that invalid files of duties, rebalancing and the negative cache lead to errors of
// the types of these modules, in one line that names the file and the key.
func TestReadRejectsBadPolicyFiles(t *testing.T) {
	files := newPolicyFileDir(t)
	duty, dutyAlone := Config{DutiesFile: files.policy, GossipFile: files.gossip}, Config{DutiesFile: files.policy}
	rebalancing := Config{RebalanceFile: files.policy}
	cache, cacheAlone := Config{NegativeCacheFile: files.policy, GossipFile: files.gossip}, Config{NegativeCacheFile: files.policy}
	var dutyRange *duties.RangeError
	var dutyOrder *duties.SpanRatioError
	var dutyAloneError *duties.NoPeersError
	var rebalanceRange *rebalance.RangeError
	var cacheRange *negativecache.RangeError
	var cacheAloneError *negativecache.NoPeersError
	for _, c := range []struct {
		overrides Config
		text      string
		errorType any // nil: any type
		want      string
	}{
		{duty, "watchers = 1\n", &dutyRange, "watchers: 1"},
		{duty, "beat_ms = 1900.0\n", &dutyOrder, "patience_ms: 2500"},
		{duty, "watcher = 2\n", nil, "watcher: unknown"},
		{dutyAlone, "", &dutyAloneError, "--peers FILE"},
		{rebalancing, "slack = -0.5\n", &rebalanceRange, "slack: -0.5"},
		{rebalancing, "room = 1\n", nil, "room: unknown"},
		{cache, "entries = 0\n", &cacheRange, "entries: 0"},
		{cache, "believe_s = 0.6\n", &cacheRange, "believe_s: 0.6"},
		{cacheAlone, "", &cacheAloneError, "3 proxies may write"},
	} {
		t.Run(c.want, func(t *testing.T) {
			writeFile(t, files.policy, c.text)
			_, err := Read(files.config, c.overrides)
			requireOneLine(t, err, c.want, files.policy)
			if c.errorType != nil && !errors.As(err, c.errorType) {
				t.Errorf("got error of unexpected type %T", err)
			}
		})
	}
}

// TestReadTakesDeployedPolicyFiles checks that the files in deploy are valid.
func TestReadTakesDeployedPolicyFiles(t *testing.T) {
	files := newPolicyFileDir(t)
	for name, overrides := range map[string]Config{
		"turns":   {DutiesFile: "../../deploy/turns.toml", GossipFile: files.gossip},
		"moves":   {RebalanceFile: "../../deploy/moves.toml"},
		"missing": {NegativeCacheFile: "../../deploy/missing.toml", GossipFile: files.gossip},
	} {
		t.Run(name, func(t *testing.T) {
			config, err := Read(files.config, overrides)
			if err != nil || config.Duties == nil && config.Rebalance == nil && config.NegativeCache == nil {
				t.Errorf("%+v: %v", overrides, err)
			}
		})
	}
}
