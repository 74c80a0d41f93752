package gossip

import (
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"woodproxy/internal/wire"
	"woodproxy/replica"

	"go.uber.org/zap"
)

const testPort = 7946

// loopbackIP returns a loopback address for the given number, 1 to 254. Tests use different numbers, and the process ID
// distinguishes concurrent test processes.
func loopbackIP(number int) string { return fmt.Sprintf("127.41.%d.%d", os.Getpid()%250, number) }

// withTestPort returns the socket address with the given IP address and testPort, where agents under test listen.
func withTestPort(ip string) string { return fmt.Sprintf("%s:%d", ip, testPort) }

// startAgent starts an agent whose cluster is configured with two proxies. The agent is closed when the test ends.
func startAgent(t *testing.T, cluster, name, ip string, handler Handler, seeds ...string) *Agent {
	t.Helper()
	address := withTestPort(ip)
	config := &Config{
		Cluster:              cluster,
		Listen:               address,
		Advertise:            address,
		Seeds:                seeds,
		TakeoverDelaySeconds: 1,
		QuotaFloor:           0.25,
	}
	agent, err := Start(config, name, "", 2, 10*replica.Second, 1, handler, zap.NewNop())
	if err != nil {
		t.Fatalf("starting agent %s: %v", name, err)
	}
	t.Cleanup(agent.Close)
	return agent
}

// eventually polls the condition, and marks the test as failed if it does not hold within six seconds.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for range 150 {
		if condition() {
			return
		}
		time.Sleep(40 * time.Millisecond)
	}
	t.Error("not within 6 s: " + description)
}

// healthReport holds the arguments of one call of Handler.HealthReported.
type healthReport struct {
	endpoint string
	responds bool
}

// recordingHandler is a Handler that records the calls of the agent.
type recordingHandler struct {
	endpoints     chan wire.Endpoint
	healthReports chan healthReport
	rows          chan replica.Row
	quotaShare    atomic.Value // latest share, a float64; empty before the first call
}

func newRecordingHandler() *recordingHandler {
	const capacity = 99 // more calls than any test causes, so that sending never blocks the event loop
	return &recordingHandler{
		endpoints:     make(chan wire.Endpoint, capacity),
		healthReports: make(chan healthReport, capacity),
		rows:          make(chan replica.Row, capacity),
	}
}

func (h *recordingHandler) EndpointChanged(_ int64, endpoint wire.Endpoint) { h.endpoints <- endpoint }

func (h *recordingHandler) HealthReported(endpoint string, responds bool) {
	h.healthReports <- healthReport{endpoint, responds}
}

func (h *recordingHandler) QuotaShareChanged(fraction float64)    { h.quotaShare.Store(fraction) }
func (h *recordingHandler) RequestCount() int64                   { return 0 }
func (h *recordingHandler) WriteRowCount() int64                  { return 0 }
func (h *recordingHandler) MembersUpdated([]replica.Member, bool) {}
func (h *recordingHandler) RowChanged(row *replica.Row)           { h.rows <- *row }
