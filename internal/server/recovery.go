package server

import (
	"sync"
	"time"

	"woodproxy/internal/proxy"
	"woodproxy/recovery"

	"go.uber.org/zap"
)

// recoveryInterval is the interval at which the inputs of the recovery module are polled.
const recoveryInterval = 100 * time.Millisecond

// recoveryTracker tracks the stages of recovery after the start of the process. It also writes the state file, during
// recovery and afterwards, until stop is called.
type recoveryTracker struct {
	gossip    *gossipAdapter
	endpoints *proxy.EndpointList
	counters  *proxy.Counters
	log       *zap.Logger
	clock     proxy.Clock
	writer    *snapshotWriter

	quit  chan struct{} // closed by stop
	ended chan struct{} // closed when run returns

	// Values of the counters up to which requests have been reported to the recovery module; used by run only.
	completedReported int64
	failedReported    int64

	mu      sync.Mutex
	tracker *recovery.Tracker // guarded by mu
}

// newRecoveryTracker returns a tracker in the first stage of recovery.
func newRecoveryTracker(s *server, restored restoredState) *recoveryTracker {
	t := &recoveryTracker{
		gossip:    s.gossip,
		endpoints: s.endpoints,
		counters:  s.counters,
		log:       s.log,
		clock:     proxy.NewClock(),
		writer:    &snapshotWriter{config: s.config, gossip: s.gossip, router: s.router, endpoints: s.endpoints, log: s.log},
		quit:      make(chan struct{}),
		ended:     make(chan struct{}),
	}
	if s.config.StateStore != nil {
		t.writer.save = s.config.StateStore.Save
		t.writer.failures = &s.counters.StateWriteFailures
	}
	settings := recovery.DefaultSettings(s.config.Gossip != nil)
	t.tracker = recovery.New(t.now(), settings, restored.outcome, restored.draining)
	return t
}

func (t *recoveryTracker) now() recovery.Time { return recovery.Time(t.clock.Now()) }

// run tracks the stages and writes snapshots until stop is called.
func (t *recoveryTracker) run() {
	defer close(t.ended)
	ticker := time.NewTicker(recoveryInterval)
	defer ticker.Stop()
	t.writer.lastAttempt = time.Now()
	for {
		select {
		case <-t.quit:
			return
		case <-ticker.C:
		}
		for _, change := range t.tick() {
			t.log.Info("recovery: " + change.Text)
		}
		t.writer.saveIfDue()
	}
}

// tick reports the events since the last tick to the recovery module and returns the resulting stage changes.
func (t *recoveryTracker) tick() []recovery.StageChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reportFinishedRequests()
	changes := t.tracker.Tick(t.now())
	if t.endpoints.LatestIndex() > 0 {
		changes = append(changes, t.tracker.EndpointListReceived(t.now())...)
	}
	if status := t.gossip.sender.status(); status != nil {
		alive := -1 // this proxy is a member too, and is not counted
		for i := range status.Members {
			if isAlive(&status.Members[i]) {
				alive++
			}
		}
		changes = append(changes, t.tracker.UpdatePeers(t.now(), alive, status.CatchingUp)...)
	}
	return changes
}

// reportFinishedRequests reports the requests that have finished since the last call, and whether they were answered in
// time. The caller holds the lock.
func (t *recoveryTracker) reportFinishedRequests() {
	for ; t.completedReported < t.counters.Completed.Load(); t.completedReported++ {
		t.tracker.RequestFinished(true)
	}
	for ; t.failedReported < t.counters.Shed.Load()+t.counters.Errored.Load(); t.failedReported++ {
		t.tracker.RequestFinished(false)
	}
}

// stop ends run and waits until it has returned. It must not be called unless run was started.
func (t *recoveryTracker) stop() {
	close(t.quit)
	<-t.ended
}

// status returns the status of recovery. It may be called from any goroutine.
func (t *recoveryTracker) status() recovery.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Status(t.now())
}
