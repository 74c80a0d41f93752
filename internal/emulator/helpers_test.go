package emulator_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"woodproxy/internal/emulator"
	"woodproxy/internal/server"

	"go.uber.org/zap"
)

// inProcessProxy is a proxy that runs in the test process.
type inProcessProxy struct {
	signals chan os.Signal
	done    chan error
}

func (p inProcessProxy) Signal(s os.Signal) { p.signals <- s }
func (p inProcessProxy) Kill()              { p.signals <- syscall.SIGTERM }
func (p inProcessProxy) Done() <-chan error { return p.done }

// startInProcess starts a proxy in the test process.
func startInProcess(config emulator.ProxyConfig) (emulator.Proxy, error) {
	read := func() (*server.Config, error) {
		return server.Read(config.ConfigFile, server.Config{HotRestartDir: filepath.Join(config.Dir, "tmp")})
	}
	serverConfig, err := read()
	if err != nil {
		return nil, err
	}
	p := inProcessProxy{make(chan os.Signal, 4), make(chan error, 1)}
	go func() {
		p.done <- server.Serve(serverConfig, read, zap.NewNop(), server.Signals{Stop: p.signals})
		close(p.done)
	}()
	return p, nil
}

// awaitEnd waits until a proxy has ended and its channel is closed.
func awaitEnd(p emulator.Proxy) {
	for range p.Done() {
	}
}

// buildProgram builds the proxy and returns a function that starts it as a process.
func buildProgram(t *testing.T) emulator.StartFunc {
	t.Helper()
	file := filepath.Join(t.TempDir(), "woodproxy")
	if text, err := exec.Command("go", "build", "-o", file, "woodproxy/cmd/woodproxy").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	return emulator.StartProgram(file, "serve")
}

// calmScenario is a scenario without faults. Tests derive their scenarios from it.
const calmScenario = `name = "plain"
length_s = 2.0
proxies = 2
fleet = { nodes = 3, cores = 4, service_ms = 2.0, queue = 100, zones = ["a", "b"], cross_ms = 2.0, cold_s = 2.0, cold_from = 0.4 }
origin = { cores = 8, service_ms = 5.0, queue = 100 }
keys = { count = 500, zipf = 1.1, warm = 0.9 }
load = { rate = 150.0 }
route = [
  { name = "read", share = 0.9, objective_ms = 500.0, overall_ms = 1000.0, value = 1.0 },
  { name = "put", share = 0.1, objective_ms = 500.0, overall_ms = 1000.0, value = 2.0, write = true, dedup_ms = 5000.0 },
]
`

// scenarioWith returns calmScenario with texts replaced. The arguments are pairs of old and new text.
func scenarioWith(oldnew ...string) string {
	return strings.NewReplacer(oldnew...).Replace(calmScenario)
}

// withFaults adds faults to a scenario. Each fault is given as its TOML keys and values, separated by semicolons.
func withFaults(scenario string, faults ...string) string {
	for _, fault := range faults {
		scenario += "[[trouble]]\n" + strings.ReplaceAll(fault, "; ", "\n") + "\n"
	}
	return scenario
}

func parseScenario(t *testing.T, text string) *emulator.Scenario {
	t.Helper()
	d, err := emulator.ParseScenario([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// play runs a scenario with seed 1.
func play(t *testing.T, text string, start emulator.StartFunc) *emulator.Report {
	t.Helper()
	options := emulator.Options{Start: start, Dir: t.TempDir()}
	r, err := emulator.Run(t.Context(), parseScenario(t, text).NewPlan(1), options)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// playWithoutViolation runs a scenario and fails the test for each violation.
func playWithoutViolation(t *testing.T, text string, start emulator.StartFunc) *emulator.Report {
	t.Helper()
	r := play(t, text, start)
	for _, v := range r.Violations {
		t.Error(v)
	}
	return r
}

// playBoth runs a scenario unchanged and, at the same time, with one text replaced by another. It returns both reports.
func playBoth(t *testing.T, text, original, replacement string) (*emulator.Report, *emulator.Report) {
	t.Helper()
	start, reports := buildProgram(t), make([]*emulator.Report, 2)
	t.Run("variants", func(t *testing.T) {
		for i, variant := range []string{original, replacement} {
			t.Run(variant, func(t *testing.T) {
				t.Parallel()
				reports[i] = playWithoutViolation(t, strings.Replace(text, original, variant, 1), start)
			})
		}
	})
	if reports[0] == nil || reports[1] == nil {
		t.Fatal("a variant has no report")
	}
	return reports[0], reports[1]
}

// countOutcomes counts results by outcome.
func countOutcomes(r *emulator.Report) map[emulator.Outcome]int {
	counts := map[emulator.Outcome]int{}
	for _, result := range r.Results {
		counts[result.Outcome]++
	}
	return counts
}

// completedFraction returns the fraction of the requests that were completed.
func completedFraction(r *emulator.Report) float64 {
	return float64(countOutcomes(r)[emulator.Completed]) / float64(len(r.Plan.Requests))
}

// countViolations counts violations by invariant.
func countViolations(r *emulator.Report) map[emulator.Rule]int {
	counts := map[emulator.Rule]int{}
	for _, v := range r.Violations {
		counts[v.Rule]++
	}
	return counts
}
