package emulator_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"woodproxy/internal/emulator"
)

// invalidFault returns a change for changedScenario that adds a fault.
func invalidFault(keys string) string { return "]\n>]\ntrouble = [{ " + keys + " }]" }

// Guards against errors in scenario files that are accepted, or reported without the place: the error of an invalid scenario
// must be a single line that names the file, and the line or the key.
func TestInvalidScenarios(t *testing.T) {
	file := filepath.Join(t.TempDir(), "day.toml")
	for change, want := range map[string]string{ // a text of the scenario, ">", and its replacement
		`name = "plain">`:                                                                "name: missing",
		`length_s = 2.0>length_s = "long"`:                                               "line 2: length_s",
		`length_s = 2.0>length_s = 0.0`:                                                  "length_s: 0: not from",
		`proxies = 2>proxies = 2` + "\n" + `proxy = 3`:                                   "line 4: proxy: unknown",
		`nodes = 3>nodes = 0`:                                                            "fleet.nodes: 0",
		`cores = 4>cores = 0`:                                                            "fleet.cores: 0",
		`cold_from = 0.4>cold_from = 1.5`:                                                "fleet.cold_from: 1.5",
		`zipf = 1.1>zipf = nan`:                                                          "keys.zipf",
		`rate = 150.0>rate = -1.0`:                                                       "load.rate: -1",
		`rate = 150.0>steps = [{ at_s = 3.0 }], rate = 1.0`:                              "load.steps[0].at_s: 3",
		`share = 0.9>share = 0.8`:                                                        "route: shares",
		`objective_ms = 500.0>objective_ms = 5000.0`:                                     "route[0].objective_ms: 5000",
		`name = "put">name = "read"`:                                                     "route[1].name: missing or duplicate",
		`write = true, >`:                                                                "route[1].dedup_ms: a read",
		`name = "plain">name = `:                                                         "line 1",
		invalidFault(`kind = "deluge"`):                                                  `trouble[0].kind: "deluge": unknown`,
		invalidFault(`kind = "silent", at_s = 1.0, for_s = 5.0, nodes = 1`):              "trouble[0].for_s: 5",
		invalidFault(`kind = "silent", at_s = 1.0`):                                      "trouble[0].nodes: 0",
		invalidFault(`kind = "kill", at_s = 1.0, nodes = 9`):                             "trouble[0].nodes: 9",
		invalidFault(`kind = "bad-clients", at_s = 1.0, rate = 1.0, nodes = 1`):          "trouble[0].nodes: bad-clients takes none",
		invalidFault(`kind = "deaf", at_s = 1.0, nodes = 3`):                             "trouble[0].nodes: 3",
		invalidFault(`kind = "zone-cut", at_s = 1.0`):                                    "trouble[0].zone: missing",
		invalidFault(`kind = "zone-cut", at_s = 1.0, zone = "x"`):                        "trouble[0].zone: \"x\": none of",
		invalidFault(`kind = "part", at_s = 1.0, nodes = 1`):                             "trouble[0].kind: part: proxies do not gossip",
		invalidFault(`kind = "link", at_s = 1.0, part = 1.0, from = ["n0"]`):             "trouble[0].from, to: missing",
		invalidFault(`kind = "link", at_s = 1.0, part = 1.0, from = ["n0"], to = ["x"]`): "trouble[0].from, to: \"x\"",
	} {
		t.Run(want, func(t *testing.T) {
			if err := os.WriteFile(file, []byte(changedScenario(t, change)), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := emulator.ReadScenario(file)
			if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), file) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: got error %v, want one line with the file and the key", change, err)
			}
		})
	}
	if _, err := emulator.ReadScenario(file + "x"); err == nil {
		t.Error("got no error for a missing scenario file")
	}
}

// changedScenario replaces a text in calmScenario at its first occurrence, or at the last one if the text is the end of the
// routes.
func changedScenario(t *testing.T, change string) string {
	t.Helper()
	from, to, _ := strings.Cut(change, ">")
	at := strings.Index(calmScenario, from)
	if from == "]\n" {
		at = strings.LastIndex(calmScenario, from)
	}
	if at < 0 {
		t.Fatalf("%q is not in the scenario", from)
	}
	return calmScenario[:at] + to + calmScenario[at+len(from):]
}
