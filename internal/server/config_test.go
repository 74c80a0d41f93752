package server

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"woodproxy/duties"
	"woodproxy/negativecache"
	"woodproxy/rebalance"
)

// A bad configuration is one line that names what is wrong.
func TestBadConfigurations(t *testing.T) {
	good := `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f","limits":{"cores":1.5},` +
		`"settings":` + settingsJSON + `,"new":1}`
	file := filepath.Join(t.TempDir(), "config.json")
	read := func(text string) error {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Read(file, Place{})
		return err
	}
	if err := read(good); err != nil {
		t.Fatal(err)
	}
	for change, want := range map[string]string{
		`"name":"n1",>`:                                                   "name: missing",
		`"listen":"127.0.0.1:1">"listen":7`:                               "listen: mistyped",
		`127.0.0.1:2>nowhere`:                                             "discovery: no address",
		`"new":1>"management":7`:                                          "management: mistyped",
		`"new":1>"management":"here"`:                                     "management: no address",
		`"new":1>"management":"127.0.0.1:1"`:                              "management: the address of listen",
		`"seed":"8c1f">"seed":"xyz"`:                                      "seed: mistyped",
		`"cores":1.5>"cores":"many"`:                                      "limits.cores: mistyped",
		`"cores":1.5>"sockets":9`:                                         "limits.sockets",
		`"settings">"sittings"`:                                           "settings: missing",
		`"value":5,"effect":"pure">"value":5`:                             "effect: missing",
		`"effect":"pure">"effect":"maybe"`:                                "effect: out of its range",
		`"effect":"pure">"effect":7`:                                      "routes[0].effect: mistyped",
		`"latency-objective":600,>`:                                       "routes[0].latency-objective: missing",
		`"latency-objective":600>"latency-objective":0`:                   "routes[0].latency-objective: out of its range",
		`"overall-timeout":1200>"overall-timeout":0`:                      "routes[0].overall-timeout: out of its range",
		`"value":5>"value":-1`:                                            "routes[0].value: out of its range",
		`"dedup-window":6000>"dedup-window":-6000`:                        "routes[1].dedup-window: out of its range",
		`{"name":"put">{"name":"read"`:                                    "routes[1].name: doubled",
		`"tick":5>"tick":5,"membership-mode":"guess"`:                     "membership-mode: out of its range",
		`"tick":5>"tick":5,"tenants":[{"name":"t","allowance-per-s":-3}]`: "tenants[0].allowance-per-s: out of its range",
		`"may-cancel":true>"may-cancel":"maybe"`:                          "limits.may-cancel: mistyped",
		`"tick":5>"tick":"five"`:                                          "tick: mistyped",
		`{"name":"n1">{"name":`:                                           "not a JSON object",
		`"replicas-of-me":1,>`:                                            "replicas-of-me: missing",
		`"replicas-of-me":1>"replicas-of-me":0`:                           "replicas-of-me: out of its range",
		`"may-cancel">"may-tell":true,"may-cancel"`:                       "me: missing",
		`"may-cancel">"may-tell":7,"may-cancel"`:                          "limits.may-tell: mistyped",
		`"tick":5>"tick":5,"me":"x"`:                                      "me: mistyped",
		`"tick":5>"tick":5,"me":1`:                                        "me: out of its range",
		`"value":5,>"value":5,"overdue-value":1.5,`:                       "overdue-value: out of its range",
		`"tick":5>"tick":5,"fees":{"origin":-1}`:                          "fees.origin: out of its range",
		`"tick":5>"tick":5,"fees":{"origin":"x"}`:                         "fees.origin: mistyped",
		`"new":1>"watch":7`:                                               "watch: mistyped",
		`"new":1>"watch":{"tick":"x"}`:                                    "watch: setup tick: mistyped",
		`"new":1>"watch":{"replicas-of-me":3,"limits":{"may-tell":true}}`: "watch: setup me: missing",
		`"new":1>"watch":{"routes":[]}`:                                   "watch: setup routes: none",
	} {
		from, to, _ := strings.Cut(change, ">")
		text := strings.Replace(good, from, to, 1)
		err := read(text)
		if text == good || err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", change, err)
		}
	}
	if _, err := Read("", Place{}); err == nil {
		t.Error("no file is taken")
	}
	if err := read(strings.Replace(good, `"new":1`, `"management":"127.0.0.1:9"`, 1)); err != nil {
		t.Error(err)
	}
	read(good)
	if p, err := Read(file, Place{Name: "n2", Listen: "127.0.0.1:3"}); err != nil || p.Name != "n2" || p.Listen != "127.0.0.1:3" {
		t.Errorf("what is given besides the file does not go before it: %v", err)
	}
}

// A bad file of zones is one line that names the file and the key.
func TestBadZones(t *testing.T) {
	file := filepath.Join(t.TempDir(), "zones.toml")
	config := filepath.Join(t.TempDir(), "config.json")
	os.WriteFile(config, []byte(`{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f","settings":`+
		strings.Replace(settingsJSON, `"tick"`, `"zones":["a","b","c"],"locality":"a","tick"`, 1)+`}`), 0o600)
	read := func(text string) (*Place, error) {
		os.WriteFile(file, []byte(text), 0o600)
		return Read(config, Place{ZonesFile: file})
	}
	region := func(name, zones string) string {
		return "[[region]]\nname = \"" + name + "\"\nzones = [" + zones + "]\n"
	}
	p, err := read("voices = 0.3\n" + region("east", `"b", "c"`))
	if err != nil || p.Zones.Zone != "a" || p.Zones.Me != "n1" || p.Zones.Voices != 0.3 || len(p.Zones.Regions) != 1 {
		t.Fatalf("%+v %v", p, err)
	}
	for text, want := range map[string]string{
		"voice = 0.2\n":                                         "voice: unknown",
		"voices = 1.5\n":                                        "voices: 1.5",
		"quiet_ms = 1.0\n":                                      "quiet_ms: 1:",
		"settle_ms = -1.0\n":                                    "settle_ms: -1",
		"hold_ms = 5000.0\nmost_hold_ms = 100.0\n":              "most_hold_ms: 100",
		"step_ms = \"x\"\n":                                     "step_ms",
		"zones = [\"a\", \"a\"]\n":                              `zones: "a": missing, too long or doubled`,
		"zones = [\"a\", \"q\"]\n":                              `zones: "q": none of the settings'`,
		"zones = [\"b\", \"c\"]\n":                              `zone: "a": none of those`,
		region("a", `"b", "c"`):                                 `region[0].name: "a"`,
		region("east", `"b", "c"`) + region("east", `"a", "b"`): `region[1].name: "east"`,
		region("east", `"b", "c"`) + region("west", `"a", "b"`): `region[1].zones: "b": is in east`,
		region("east", `"b", "q"`):                              `region[0].zones: "q"`,
		region("east", `"b"`):                                   "fewer than two",
	} {
		if _, err := read(text); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), file) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", text, err)
		}
	}
	if _, err := Read(config, Place{ZonesFile: file + "x"}); err == nil {
		t.Error("a file that is missing")
	}
}

// Bad files of turns, moves and missing keys are errors of their modules' types, in one line that names file and key.
func TestBadParts(t *testing.T) {
	dir := t.TempDir()
	config, file, talk := filepath.Join(dir, "config.json"), filepath.Join(dir, "part.toml"), filepath.Join(dir, "peers.toml")
	os.WriteFile(config, []byte(`{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f","settings":`+
		strings.Replace(settingsJSON, `"replicas-of-me":1`, `"replicas-of-me":3`, 1)+`}`), 0o600)
	os.WriteFile(talk, []byte("cluster = \"c\"\nlisten = \"127.0.0.1:7946\"\n"), 0o600)
	var outTurns *duties.RangeError
	var order *duties.OrderError
	var alone *duties.AloneError
	var outMoves *rebalance.RangeError
	var outMissing *negativecache.RangeError
	var aloneMissing *negativecache.AloneError
	for _, c := range []struct {
		over Place
		text string
		as   any
		want string
	}{
		{Place{TurnsFile: file, Peers: talk}, "watchers = 1\n", &outTurns, "watchers: 1"},
		{Place{TurnsFile: file, Peers: talk}, "beat_ms = 1900.0\n", &order, "patience_ms: 2500"},
		{Place{TurnsFile: file, Peers: talk}, "watcher = 2\n", nil, "watcher: unknown"},
		{Place{TurnsFile: file}, "", &alone, "--peers FILE"},
		{Place{MovesFile: file}, "slack = -0.5\n", &outMoves, "slack: -0.5"},
		{Place{MovesFile: file}, "room = 1\n", nil, "room: unknown"},
		{Place{MissingFile: file, Peers: talk}, "entries = 0\n", &outMissing, "entries: 0"},
		{Place{MissingFile: file, Peers: talk}, "believe_s = 0.6\n", &outMissing, "believe_s: 0.6"},
		{Place{MissingFile: file}, "", &aloneMissing, "3 proxies may write"},
	} {
		os.WriteFile(file, []byte(c.text), 0o600)
		_, err := Read(config, c.over)
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), file) || strings.Contains(err.Error(), "\n") || c.as != nil && !errors.As(err, c.as) {
			t.Errorf("%q: %v", c.text, err)
		}
	}
	for _, over := range []Place{{TurnsFile: "../../deploy/turns.toml", Peers: talk}, {MovesFile: "../../deploy/moves.toml"}, {MissingFile: "../../deploy/missing.toml", Peers: talk}} {
		if p, err := Read(config, over); err != nil || p.Turns == nil && p.Moves == nil && p.Missing == nil {
			t.Errorf("%+v: %v", over, err)
		}
	}
}
