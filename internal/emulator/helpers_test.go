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

// inProcessProxy is a proxy that runs in this process.
type inProcessProxy struct {
	signals chan os.Signal
	done    chan error
}

func (p inProcessProxy) Signal(s os.Signal) { p.signals <- s }
func (p inProcessProxy) Kill()              { p.signals <- syscall.SIGTERM }
func (p inProcessProxy) Done() <-chan error { return p.done }

func startInProcess(config emulator.ProxyConfig) (emulator.Proxy, error) {
	read := func() (*server.Config, error) {
		return server.Read(config.ConfigFile, server.Config{HotRestartDir: filepath.Join(config.Dir, "tmp")})
	}
	place, err := read()
	if err != nil {
		return nil, err
	}
	p := inProcessProxy{make(chan os.Signal, 4), make(chan error, 1)}
	go func() {
		p.done <- server.Serve(place, read, zap.NewNop(), server.Signals{Stop: p.signals})
		close(p.done)
	}()
	return p, nil
}

// awaitEnd waits until a proxy has ended and its channel is closed.
func awaitEnd(p emulator.Proxy) {
	for range p.Done() {
	}
}

// program builds the proxy, and returns how it is started as a process.
func program(t *testing.T) emulator.StartFunc {
	t.Helper()
	file := filepath.Join(t.TempDir(), "woodproxy")
	if text, err := exec.Command("go", "build", "-o", file, "woodproxy/cmd/woodproxy").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	return emulator.StartProgram(file, "serve")
}

// calmScenario is a scenario without faults, from which tests make theirs.
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

// scenarioWith returns calmScenario with texts replaced, which are given in pairs.
func scenarioWith(oldnew ...string) string {
	return strings.NewReplacer(oldnew...).Replace(calmScenario)
}

// withFaults adds faults to a scenario, each given by its keys with semicolons between them.
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

// play plays a scenario under seed 1.
func play(t *testing.T, text string, start emulator.StartFunc) *emulator.Report {
	t.Helper()
	options := emulator.Options{Start: start, Dir: t.TempDir()}
	r, err := emulator.Run(t.Context(), parseScenario(t, text).NewPlan(1), options)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// playWithoutViolation plays a scenario in which no rule may be broken.
func playWithoutViolation(t *testing.T, text string, start emulator.StartFunc) *emulator.Report {
	t.Helper()
	r := play(t, text, start)
	for _, v := range r.Violations {
		t.Error(v)
	}
	return r
}

// playBoth plays a scenario as it is, and at the same time with one text replaced by another.
func playBoth(t *testing.T, text, is, other string) (*emulator.Report, *emulator.Report) {
	t.Helper()
	start, reports := program(t), make([]*emulator.Report, 2)
	t.Run("days", func(t *testing.T) {
		for i, variant := range []string{is, other} {
			t.Run(variant, func(t *testing.T) {
				t.Parallel()
				reports[i] = playWithoutViolation(t, strings.Replace(text, is, variant, 1), start)
			})
		}
	})
	if reports[0] == nil || reports[1] == nil {
		t.Fatal("not played")
	}
	return reports[0], reports[1]
}

func countOutcomes(r *emulator.Report) map[emulator.Outcome]int {
	counts := map[emulator.Outcome]int{}
	for _, result := range r.Results {
		counts[result.Outcome]++
	}
	return counts
}

// completedPart returns the part of the requests that was completed.
func completedPart(r *emulator.Report) float64 {
	return float64(countOutcomes(r)[emulator.Completed]) / float64(len(r.Plan.Requests))
}

// countViolations counts violations by rule.
func countViolations(r *emulator.Report) map[emulator.Rule]int {
	counts := map[emulator.Rule]int{}
	for _, v := range r.Violations {
		counts[v.Rule]++
	}
	return counts
}
