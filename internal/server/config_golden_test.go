package server_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"woodproxy/internal/goldentest"

	"woodproxy/internal/server"
	"woodproxy/internal/settings"
)

// configFiles holds the texts of the configuration files of a proxy. A file whose text is empty does not exist.
type configFiles struct {
	config, peers, zones, turns, moves, missing string
}

// readConfig writes the files into a directory and reads the configuration from them. Errors are stable between runs: they
// do not contain the name of the directory.
func readConfig(t *testing.T, files configFiles, overrides server.Config) (*server.Config, error) {
	t.Helper()
	dir := t.TempDir()
	write := func(name, text string) string {
		t.Helper()
		if text == "" {
			return ""
		}
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	overrides.GossipFile = write("peers.toml", files.peers)
	overrides.ZoneHealthFile = write("zones.toml", files.zones)
	overrides.DutiesFile = write("turns.toml", files.turns)
	overrides.RebalanceFile = write("moves.toml", files.moves)
	overrides.NegativeCacheFile = write("missing.toml", files.missing)
	config, err := server.Read(write("config.json", files.config), overrides)
	if err != nil {
		return nil, errors.New(goldentest.StableError(err, dir))
	}
	return config, nil
}

// formatConfig returns the values of a configuration with the names of the keys in the file. It includes only some of the
// settings; the tests of package settings cover the others.
func formatConfig(config *server.Config) string {
	var text strings.Builder
	line := func(label string, value any) { fmt.Fprintf(&text, "%s = %v\n", label, value) }
	line("name", config.Name)
	line("listen", config.Listen)
	line("discovery", config.Discovery)
	line("management", config.Management)
	line("seed", fmt.Sprintf("%016x", config.Seed))
	line("limits.cores", config.Cores)
	line("limits.memory_mb", config.MemoryMB)
	line("limits.sockets", config.Sockets)
	known := "not stated"
	if list := config.KnownEndpoints; list != nil {
		known = fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":%v}`, list.Index, list.Complete, list.Endpoints)
	}
	line("known", known)
	listSettings := func(label string, values *settings.Settings) {
		if values == nil {
			line(label, "not stated")
			return
		}
		line(label+".replicas-of-me", values.Balancer.Proxies)
		line(label+".tick", fmt.Sprintf("%v ms", float64(values.Balancer.Tick)/10))
		line(label+".limits.max-upstream-tries", values.Balancer.MaxAttempts)
		line(label+".limits.conn-idle", fmt.Sprintf("%v ms", float64(values.ServerIdleTimeout)/10))
		line(label+".limits.may-tell, number of peers", values.Balancer.PeerCount)
		line(label+".me", values.Balancer.Self)
		line(label+".rules.cold", fmt.Sprintf("%v ms", float64(values.Balancer.SlowStart)/10))
		line(label+".rules.fall", fmt.Sprintf("%v ms", float64(values.Balancer.SlowStartOverloadWindow)/10))
		line(label+".routes", len(values.Balancer.Routes))
	}
	listSettings("settings", config.Settings)
	listSettings("watch", config.ShadowSettings)
	line("notifications allowed without a gossip file", config.NotificationsWithoutGossip)
	return text.String()
}

// describeConfig returns the values of the configuration that is read from the files, or the error.
func describeConfig(t *testing.T, files configFiles, overrides server.Config) string {
	t.Helper()
	config, err := readConfig(t, files, overrides)
	if err != nil {
		return fmt.Sprintf("error: %v\n", err)
	}
	return formatConfig(config)
}

// TestConfigEveryKey checks the values read from a file with every key, and the effect of leaving out each key.
func TestConfigEveryKey(t *testing.T) {
	every := goldentest.Read(t, "config_every_key.json")
	describe := func(text string) string { return describeConfig(t, configFiles{config: text}, server.Config{}) }
	goldentest.Text(t, "config_every_key.golden", describe(every))
	goldentest.Text(t, "config_every_key_left_out.golden", goldentest.LeaveOutEachKey(every, describe))
}

// TestConfigDefaults checks the values read from a file with the required keys only.
func TestConfigDefaults(t *testing.T) {
	required := goldentest.Read(t, "config_required_keys.json")
	goldentest.Text(t, "config_defaults.golden", describeConfig(t, configFiles{config: required}, server.Config{}))
}

// TestConfigOverrides checks that overrides take precedence over the configuration file.
func TestConfigOverrides(t *testing.T) {
	files := configFiles{config: goldentest.Read(t, "config_every_key.json")}
	overrides := server.Config{
		Name: "proxy-32", Listen: "127.0.0.41:1", Discovery: "127.0.0.42:2", Management: "127.0.0.43:3",
	}
	base := describeConfig(t, files, server.Config{})
	goldentest.Text(t, "config_overrides.golden", goldentest.ChangedLines(describeConfig(t, files, overrides), base))
}

// TestConfigVariants checks the changes in the configuration if a value is null, a key is a duplicate or unknown, or a
// gossip file exists.
func TestConfigVariants(t *testing.T) {
	every := goldentest.Read(t, "config_every_key.json")
	base := describeConfig(t, configFiles{config: every}, server.Config{})
	var report strings.Builder
	for _, change := range []struct{ from, to string }{
		{`"management": "127.0.0.33:6433"`, `"management": null`},
		{`"cores": 2.75`, `"cores": null`},
		{`"sockets": 1234`, `"sockets": 64.9`},
		{`"name": "proxy-31"`, `"name": "proxy-31", "name": "proxy-32"`},
		{`"name": "proxy-31"`, `"name": "proxy-31", "not-known": 1`},
		{`"seed": "deadbeefcafef00d"`, `"seed": "0"`},
		{`"watch": {"tick":9.1`, `"watch": null, "left-out": {"tick":9.1`},
		{`"tick":7.3`, `"tick":7.3,"me":6`},
		{`"conn-idle":12345.6`, `"conn-idle":12345.6,"may-tell":true},"me":6,"left-out":{"a":1`},
	} {
		text := replaceIn(t, every, change.from, change.to)
		fmt.Fprintf(&report, "%s instead of %s:\n%s", change.to, change.from,
			goldentest.ChangedLines(describeConfig(t, configFiles{config: text}, server.Config{}), base))
	}
	text := replaceIn(t, every, `"tick":7.3`, `"tick":7.3,"me":6`)
	files := configFiles{config: text, peers: goldentest.Read(t, "peers.toml")}
	fmt.Fprintf(&report, "\"me\":6 with a gossip file:\n%s", goldentest.ChangedLines(describeConfig(t, files, server.Config{}), base))
	goldentest.Text(t, "config_variants.golden", report.String())
}

// replaceIn replaces the first occurrence of a part, and fails the test if there is none.
func replaceIn(t *testing.T, text, from, to string) string {
	t.Helper()
	if !strings.Contains(text, from) {
		t.Fatalf("text does not contain %s", from)
	}
	return strings.Replace(text, from, to, 1)
}

// expectError compares the complete text of an error.
func expectError(t *testing.T, what string, err error, want string) {
	t.Helper()
	if err == nil {
		err = errors.New("no error")
	}
	if err.Error() != want {
		t.Errorf("%s: got %q, want %q", what, err, want)
	}
}

// TestConfigBadInputs checks the complete errors for invalid configuration files.
func TestConfigBadInputs(t *testing.T) {
	every := goldentest.Read(t, "config_every_key.json")
	for _, c := range []badInput{
		{every, "{", "configuration: config.json: not a JSON object"},
		{every, "[]", "configuration: config.json: not a JSON object"},
		{`"name": "proxy-31"`, `"name": ""`, "configuration: name: mistyped"},
		{`"name": "proxy-31"`, `"name": 31`, "configuration: name: mistyped"},
		{`"name": "proxy-31"`, `"title": "proxy-31"`, "configuration: name: missing"},
		{`"listen": "127.0.0.31:6431"`, `"listen": 6431`, "configuration: listen: mistyped"},
		{`127.0.0.31:6431`, `127.0.0.31`, `configuration: listen: no address and port: "127.0.0.31"`},
		{`127.0.0.31:6431`, `127.0.0.31:`, `configuration: listen: no address and port: "127.0.0.31:"`},
		{`"discovery": "127.0.0.32:6432"`, `"discovery": {}`, "configuration: discovery: mistyped"},
		{`127.0.0.32:6432`, `nowhere`, `configuration: discovery: no address and port: "nowhere"`},
		{`"management": "127.0.0.33:6433"`, `"management": true`, "configuration: management: mistyped"},
		{`127.0.0.33:6433`, `here`, `configuration: management: no address and port: "here"`},
		{`127.0.0.33:6433`, `127.0.0.31:6431`, `configuration: management: same address as listen: "127.0.0.31:6431"`},
		{`"seed": "deadbeefcafef00d"`, `"seed": 7`, "configuration: seed: mistyped"},
		{`deadbeefcafef00d`, `xyz`, "configuration: seed: mistyped"},
		{`deadbeefcafef00d`, `1deadbeefcafef00d`, "configuration: seed: mistyped"},
		{`"cores": 2.75`, `"cores": "2.75"`, "configuration: limits.cores: mistyped or out of its range"},
		{`"cores": 2.75`, `"cores": 0`, "configuration: limits.cores: mistyped or out of its range"},
		{`"memory_mb": 317`, `"memory_mb": -1`, "configuration: limits.memory_mb: mistyped or out of its range"},
		{`"memory_mb": 317`, `"memory_mb": 1e9`, "configuration: limits.memory_mb: mistyped or out of its range"},
		{`"sockets": 1234`, `"sockets": []`, "configuration: limits.sockets: mistyped or out of its range"},
		{`"sockets": 1234`, `"sockets": 63`, "configuration: limits.sockets: fewer than 64"},
		{`"settings": {`, `"settings": [], "left-out": {`, "configuration: settings: missing or mistyped"},
		{`"tick":7.3`, `"tick":"7.3"`, "configuration: settings: setup tick: mistyped"},
		{`"watch": {`, `"watch": 7, "left-out": {`, "configuration: watch: mistyped"},
		{`"tick":9.1`, `"tick":"9.1"`, "configuration: watch: setup tick: mistyped"},
		{`"tick":9.1`, `"tenants":[]`, "configuration: watch: setup tenants: differs from the settings"},
		{`"tick":9.1`, `"zones":["south","north"]`, "configuration: watch: setup zones: differs from the settings"},
		{`"tick":9.1`, `"family-info":{"origin-kind":0}`, "configuration: watch: setup family-info.origin-kind: differs from the settings"},
		{
			`"tick":9.1`, `"routes":[{"name":"get","latency-objective":1,"overall-timeout":1,"value":1,"effect":"pure"}]`,
			"configuration: watch: setup routes: differs from the settings",
		},
	} {
		t.Run(c.want, func(t *testing.T) {
			_, err := readConfig(t, configFiles{config: replaceIn(t, every, c.from, c.to)}, server.Config{})
			expectError(t, c.to, err, c.want)
		})
	}
	_, err := server.Read("", server.Config{})
	expectError(t, "no file", err, "configuration: no file named")
	_, err = server.Read("testdata/absent.json", server.Config{})
	expectError(t, "a file that does not exist", err, "configuration: open testdata/absent.json: no such file or directory")
}
