package server_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"woodproxy/internal/goldentest"

	"woodproxy/duties"
	"woodproxy/internal/server"
	"woodproxy/negativecache"
	"woodproxy/zonehealth"
)

const noKeys = "# no keys\n"

// tomlFile is one kind of TOML file other than the gossip file. The tests of its methods are common to all kinds.
type tomlFile struct {
	// name is the name of the kind: testdata contains name_every_key.toml, and deploy contains name.toml.
	name string
	// files returns the files of a proxy, including one of this kind with the given text.
	files func(t *testing.T, text string) configFiles
	// describe calls line with each value that was read and the name of its key in the file.
	describe func(config *server.Config, line func(label string, v any))
}

var tomlFiles = []tomlFile{zonesTOML, turnsTOML, movesTOML, missingTOML}

var zonesTOML = tomlFile{
	name: "zones",
	files: func(t *testing.T, text string) configFiles {
		return configFiles{config: goldentest.Read(t, "config_for_toml_files.json"), zones: text}
	},
	describe: func(config *server.Config, line func(label string, v any)) {
		z := config.ZoneHealth
		line("zone", z.Zone)
		line("quiet_ms", zoneMilliseconds(z.SilenceTimeout))
		line("voices", z.VoteFraction)
		line("settle_ms", zoneMilliseconds(z.ConfirmationTime))
		line("hold_ms", zoneMilliseconds(z.HoldDownTime))
		line("most_hold_ms", zoneMilliseconds(z.MaxHoldDownTime))
		line("step_ms", zoneMilliseconds(z.RampStepTime))
		line("alone", z.StandaloneEnabled)
		line("together", !z.WithoutPeers)
		for i, region := range z.Regions {
			line(fmt.Sprintf("region[%d].name", i), region.Name)
			line(fmt.Sprintf("region[%d].zones", i), region.Zones)
		}
		line("name, of the configuration", z.ProxyName)
		line("shortest latency-objective, of the settings", zoneMilliseconds(z.ShortestObjective))
		line("rules.cold, of the settings", zoneMilliseconds(z.SlowStartTime))
		line("rules.cold-from, of the settings", z.SlowStartInitialFraction)
	},
}

var turnsTOML = tomlFile{
	name: "turns",
	files: func(t *testing.T, text string) configFiles {
		return configFiles{
			config: goldentest.Read(t, "config_for_toml_files.json"), peers: goldentest.Read(t, "peers.toml"), turns: text,
		}
	},
	describe: func(config *server.Config, line func(label string, v any)) {
		milliseconds := func(span duties.Time) float64 { return float64(span) / 10 }
		line("watchers", config.Duties.Watchers)
		line("keepers", config.Duties.IdleOwners)
		line("trials", config.Duties.ShareProbes)
		line("trial_ms", milliseconds(config.Duties.ProbeInterval))
		line("turn_ms", milliseconds(config.Duties.TakeoverDelay))
		line("beat_ms", milliseconds(config.Duties.HeartbeatInterval))
		line("patience_ms", milliseconds(config.Duties.LeaseDuration))
		line("name, of the configuration", config.Duties.Self)
	},
}

var movesTOML = tomlFile{
	name: "moves",
	files: func(t *testing.T, text string) configFiles {
		return configFiles{config: goldentest.Read(t, "config_for_toml_files.json"), moves: text}
	},
	describe: func(config *server.Config, line func(label string, v any)) {
		line("slack", config.Rebalance.Slack)
		line("moves_per_node", config.Rebalance.MaxMigrationsPerNode)
		line("moves_in_all", config.Rebalance.MaxMigrations)
	},
}

var missingTOML = tomlFile{
	name: "missing",
	files: func(t *testing.T, text string) configFiles {
		return configFiles{
			config: goldentest.Read(t, "config_for_toml_files.json"), peers: goldentest.Read(t, "peers.toml"), missing: text,
		}
	},
	describe: func(config *server.Config, line func(label string, v any)) {
		line("entries", config.NegativeCache.Entries)
		line("believe_s", float64(config.NegativeCache.TTL)/float64(negativecache.Second))
		line("grace_ms", float64(config.NegativeCache.ReportGrace)/float64(negativecache.Second)*1000)
		line("grow_per_s", config.NegativeCache.MaxNewKeysPerSecond)
		line("name, of the configuration", config.NegativeCache.ProxyName)
		line("tenants, of the settings", config.NegativeCache.TenantCount)
	},
}

func zoneMilliseconds(span zonehealth.Time) float64 { return float64(span) / 10 }

// read returns the values that are read from a file with the given text, or the error.
func (f *tomlFile) read(t *testing.T, text string) string {
	t.Helper()
	config, err := readConfig(t, f.files(t, text), server.Config{})
	if err != nil {
		return fmt.Sprintf("error: %v\n", err)
	}
	var lines strings.Builder
	f.describe(config, func(label string, v any) { fmt.Fprintf(&lines, "%s = %v\n", label, v) })
	return lines.String()
}

// TestTOMLFilesEveryKey checks the values read from a file with every key, and the effect of leaving out each line.
func TestTOMLFilesEveryKey(t *testing.T) {
	for _, f := range tomlFiles {
		t.Run(f.name, func(t *testing.T) {
			every := goldentest.Read(t, f.name+"_every_key.toml")
			goldentest.Text(t, f.name+"_every_key.golden", f.read(t, every))
			goldentest.Text(t, f.name+"_every_key_left_out.golden",
				goldentest.LeaveOutEachLine(every, func(text string) string { return f.read(t, text) }))
		})
	}
}

// TestTOMLFilesDefaults checks the values read from a file without keys.
func TestTOMLFilesDefaults(t *testing.T) {
	for _, f := range tomlFiles {
		t.Run(f.name, func(t *testing.T) { goldentest.Text(t, f.name+"_defaults.golden", f.read(t, noKeys)) })
	}
}

// TestTOMLFilesDeployed checks the values of the files in deploy, which operators copy.
func TestTOMLFilesDeployed(t *testing.T) {
	for _, f := range tomlFiles {
		t.Run(f.name, func(t *testing.T) {
			text, err := os.ReadFile("../../deploy/" + f.name + ".toml")
			if err != nil {
				t.Fatal(err)
			}
			goldentest.Text(t, f.name+"_deployed.golden", f.read(t, string(text)))
		})
	}
}

// TestZonesFileLocality checks that the locality in the settings takes precedence over the zone in the zone health file.
func TestZonesFileLocality(t *testing.T) {
	files := zonesTOML.files(t, goldentest.Read(t, "zones_every_key.toml"))
	files.config = replaceIn(t, files.config, `"tick":5`, `"tick":5,"locality":"north"`)
	config, err := readConfig(t, files, server.Config{})
	if err != nil {
		t.Fatal(err)
	}
	if config.ZoneHealth.Zone != "north" || config.Zone() != "north" {
		t.Errorf("got zones %q and %q, want north", config.ZoneHealth.Zone, config.Zone())
	}
}

// badInput is a replacement in the file with every key, and the error that it causes.
type badInput struct{ from, to, want string }

// expectErrors checks the complete error for each case.
func (f *tomlFile) expectErrors(t *testing.T, cases []badInput) {
	t.Helper()
	every := goldentest.Read(t, f.name+"_every_key.toml")
	for _, c := range cases {
		t.Run(c.want, func(t *testing.T) {
			_, err := readConfig(t, f.files(t, replaceIn(t, every, c.from, c.to)), server.Config{})
			expectError(t, f.name+": "+c.to, err, c.want)
		})
	}
}

func TestZonesFileBadInputs(t *testing.T) {
	west := "[[region]]\nname = \"coast\"\nzones = [\"south\", \"west\"]\n"
	zonesTOML.expectErrors(t, []badInput{
		{`voices = 0.37`, `voice = 0.37`, "zones: zones.toml: line 4: voice: unknown"},
		{
			`voices = 0.37`, "voices = 0.37\nvoices = 0.38",
			"zones: zones.toml: line 5: voices: toml: key voices is already defined",
		},
		{
			`voices = 0.37`, `voices = "0.37"`,
			"zones: zones.toml: line 4: voices: toml: cannot decode TOML string into struct field FIELD of type float64",
		},
		{`voices = 0.37`, `voices = 1.01`, "zones: zones.toml: voices: 1.01: not from 0.01 to 1"},
		{`quiet_ms = 333.3`, `quiet_ms = 49`, "zones: zones.toml: quiet_ms: 49: not from 50 to 60000"},
		{`settle_ms = 123.4`, `settle_ms = -1`, "zones: zones.toml: settle_ms: -1: not from 0 to 60000"},
		{`hold_ms = 4567.8`, `hold_ms = 99`, "zones: zones.toml: hold_ms: 99: not from 100 to 3.6e+06"},
		{
			`most_hold_ms = 98765.4`, `most_hold_ms = 4567.7`,
			"zones: zones.toml: most_hold_ms: 4567.7: not from 4567.8 to 3.6e+06",
		},
		{`step_ms = 1313.1`, `step_ms = 99`, "zones: zones.toml: step_ms: 99: not from 100 to 3.6e+06"},
		{
			`alone = false`, `alone = 0`,
			"zones: zones.toml: line 9: alone: toml: cannot decode TOML integer into struct field FIELD of type bool",
		},
		{
			`together = false`, `together = "no"`,
			"zones: zones.toml: line 10: together: toml: cannot decode TOML string into struct field FIELD of type bool",
		},
		{`zone = "south"`, `zone = "east"`, `zones: zones.toml: zone: "east": not one of the zones that nodes may have`},
		{`"north", "south", "west"`, `"north", "south", "east"`, `zones: zones.toml: zones: "east": not a zone of the settings`},
		{
			`"north", "south", "west"`, `"north", "south", "north"`,
			`zones: zones.toml: zones: "north": empty, too long or duplicate`,
		},
		{`"north", "south", "west"`, `"north", "south"`, `zones: zones.toml: region[0].zones: "west": not one of the zones that nodes may have`},
		{`"coast"`, `""`, `zones: zones.toml: region[0].name: "": empty, duplicate or the name of a zone`},
		{`"coast"`, `"north"`, `zones: zones.toml: region[0].name: "north": empty, duplicate or the name of a zone`},
		{west, west + west, `zones: zones.toml: region[1].name: "coast": empty, duplicate or the name of a zone`},
		{
			west, west + strings.Replace(west,
				"coast", "shore", 1), `zones: zones.toml: region[1].zones: "south": already in region coast`,
		},
		{`["south", "west"]`, `["south"]`, `zones: zones.toml: region[0].zones: coast: fewer than two zones`},
		{`name = "coast"`, `title = "coast"`, "zones: zones.toml: line 13: region.title: unknown"},
	})
}

func TestTurnsFileBadInputs(t *testing.T) {
	const advice = "; set a value in this range, or omit the line to use the default"
	turnsTOML.expectErrors(t, []badInput{
		{`watchers = 5`, `watcher = 5`, "turns: turns.toml: line 1: watcher: unknown"},
		{
			`watchers = 5`, `watchers = 5.5`,
			"turns: turns.toml: line 1: watchers: toml: cannot decode TOML float into struct field FIELD of type int",
		},
		{`watchers = 5`, `watchers = 65`, "turns: turns.toml: watchers: 65: not from 0 to 64" + advice},
		{`watchers = 5`, `watchers = 1`, "turns: turns.toml: watchers: 1: not from 2 to 64" + advice},
		{`keepers = 3`, `keepers = -1`, "turns: turns.toml: keepers: -1: not from 0 to 64" + advice},
		{
			`keepers = 3`, "keepers = 3\nkeepers = 4",
			"turns: turns.toml: line 3: keepers: toml: key keepers is already defined",
		},
		{
			`trials = false`, `trials = 0`,
			"turns: turns.toml: line 3: trials: toml: cannot decode TOML integer into struct field FIELD of type bool",
		},
		{`trial_ms = 333.3`, `trial_ms = 49`, "turns: turns.toml: trial_ms: 49: not from 50 to 60000" + advice},
		{`turn_ms = 77.7`, `turn_ms = 19.9`, "turns: turns.toml: turn_ms: 19.9: not from 20 to 10000" + advice},
		{`beat_ms = 555.5`, `beat_ms = 2001`, "turns: turns.toml: beat_ms: 2001: not from 100 to 2000" + advice},
		{`patience_ms = 3456.7`, `patience_ms = 4001`, "turns: turns.toml: patience_ms: 4001: not from 200 to 4000" + advice},
		{
			`patience_ms = 3456.7`, `patience_ms = 1110`,
			"turns: turns.toml: patience_ms: 1110: less than 2 times beat_ms, 555.5; raise it, or lower beat_ms",
		},
	})
	files := turnsTOML.files(t, noKeys)
	files.peers = ""
	_, err := readConfig(t, files, server.Config{})
	expectError(t, "turns without peers", err,
		"turns: turns.toml: duties need gossip; name a gossip file as well (--peers FILE), or omit the duties file")
}

func TestMovesFileBadInputs(t *testing.T) {
	const advice = "; set a value in this range, or omit the line to use the default"
	movesTOML.expectErrors(t, []badInput{
		{`slack = 0.37`, `room = 0.37`, "moves: moves.toml: line 1: room: unknown"},
		{
			`slack = 0.37`, `slack = "0.37"`,
			"moves: moves.toml: line 1: slack: toml: cannot decode TOML string into struct field FIELD of type float64",
		},
		{`slack = 0.37`, `slack = 1.01`, "moves: moves.toml: slack: 1.01: not from 0 to 1" + advice},
		{`moves_per_node = 5`, `moves_per_node = 0`, "moves: moves.toml: moves_per_node: 0: not from 1 to 64" + advice},
		{`moves_in_all = 77`, `moves_in_all = 1025`, "moves: moves.toml: moves_in_all: 1025: not from 1 to 1024" + advice},
		{
			`moves_in_all = 77`, "moves_in_all = 77\nmoves_in_all = 78",
			"moves: moves.toml: line 4: moves_in_all: toml: key moves_in_all is already defined",
		},
	})
}

func TestMissingFileBadInputs(t *testing.T) {
	const advice = "; set a value in this range, or omit the line to use the default"
	missingTOML.expectErrors(t, []badInput{
		{`entries = 4321`, `entry = 4321`, "missing: missing.toml: line 1: entry: unknown"},
		{`entries = 4321`, `entries = 0`, "missing: missing.toml: entries: 0: not from 1 to 4.194304e+06" + advice},
		{
			`entries = 4321`, `entries = "4321"`,
			"missing: missing.toml: line 1: entries: toml: cannot decode TOML string into struct field FIELD of type int",
		},
		{
			`entries = 4321`, "entries = 4321\nentries = 4322",
			"missing: missing.toml: line 2: entries: toml: key entries is already defined",
		},
		{`believe_s = 17.25`, `believe_s = 0.4`, "missing: missing.toml: believe_s: 0.4: not from 0.5 to 600" + advice},
		{`believe_s = 17.25`, `believe_s = 2.4`, "missing: missing.toml: believe_s: 2.4: not from 2.469 to 600" + advice},
		{`grace_ms = 1234.5`, `grace_ms = 99`, "missing: missing.toml: grace_ms: 99: not from 100 to 60000" + advice},
		{
			`grow_per_s = 777`, `grow_per_s = 1000001`,
			"missing: missing.toml: grow_per_s: 1.000001e+06: not from 1 to 1e+06" + advice,
		},
	})
	files := missingTOML.files(t, noKeys)
	files.peers = ""
	_, err := readConfig(t, files, server.Config{})
	expectError(t, "missing keys without peers", err, "missing: missing.toml: 7 proxies may write, but there is no gossip "+
		"between them; name a gossip file as well (--peers FILE), or omit the negative cache file")
}

// TestPeersFileOfConfigBadInputs checks the errors for a gossip file with an unknown key, and for one whose address is used
// by another listener.
func TestPeersFileOfConfigBadInputs(t *testing.T) {
	config, peers := goldentest.Read(t, "config_every_key.json"), goldentest.Read(t, "peers.toml")
	for _, address := range []string{"127.0.0.31:6431", "127.0.0.32:6432", "127.0.0.33:6433"} {
		t.Run(address, func(t *testing.T) {
			files := configFiles{config: config, peers: replaceIn(t, peers, "127.0.0.3:7001", address)}
			_, err := readConfig(t, files, server.Config{})
			expectError(t, address, err, `peers: peers.toml: listen: same address as another listener: "`+address+`"`)
		})
	}
	_, err := readConfig(t, configFiles{config: config, peers: replaceIn(t, peers, "cluster", "fleet")}, server.Config{})
	expectError(t, "unknown key", err, "peers: peers.toml: line 1: fleet: unknown")
}

// TestTOMLFilesAbsent checks that a configured file that does not exist leads to an error that names it.
func TestTOMLFilesAbsent(t *testing.T) {
	const config, absent = "testdata/config_for_toml_files.json", "testdata/absent.toml"
	for _, c := range []struct {
		name      string
		overrides server.Config
	}{
		{"peers", server.Config{GossipFile: absent}},
		{"zones", server.Config{ZoneHealthFile: absent}},
		{"turns", server.Config{DutiesFile: absent, GossipFile: "testdata/peers.toml"}},
		{"moves", server.Config{RebalanceFile: absent}},
		{"missing", server.Config{NegativeCacheFile: absent, GossipFile: "testdata/peers.toml"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := server.Read(config, c.overrides)
			expectError(t, c.name, err, c.name+": open testdata/absent.toml: no such file or directory")
			if !errors.Is(err, os.ErrNotExist) {
				t.Errorf("%s: the error does not wrap os.ErrNotExist", c.name)
			}
		})
	}
}
