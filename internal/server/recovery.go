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

// recoveryTracker tracks the stages of recovery after the start of the process. It also writes the state file for as long
// as the process runs.
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
	completedSeen int64
	failedSeen    int64

	mu       sync.Mutex
	instance *recovery.Tracker // guarded by mu
}

// newRecoveryTracker returns a tracker in the first stage of recovery.
func newRecoveryTracker(s *server, restored restoredState) *recoveryTracker {
	tracker := &recoveryTracker{
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
		tracker.writer.save = s.config.StateStore.Save
		tracker.writer.failures = &s.counters.StateWriteFailures
	}
	terms := recovery.DefaultSettings(s.config.Gossip != nil)
	tracker.instance = recovery.New(tracker.now(), terms, restored.outcome, restored.drained)
	return tracker
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
	t.reportAnswers()
	changes := t.instance.Tick(t.now())
	if t.endpoints.LatestIndex() > 0 {
		changes = append(changes, t.instance.EndpointListReceived(t.now())...)
	}
	if status := t.gossip.sender.status(); status != nil {
		alive := -1 // this proxy is a member too, and is not counted
		for i := range status.Members {
			if isAlive(&status.Members[i]) {
				alive++
			}
		}
		changes = append(changes, t.instance.UpdatePeers(t.now(), alive, status.CatchingUp)...)
	}
	return changes
}

// reportAnswers reports the requests that have finished since the last call, and whether they were answered in time. The
// caller holds the lock.
func (t *recoveryTracker) reportAnswers() {
	for ; t.completedSeen < t.counters.Completed.Load(); t.completedSeen++ {
		t.instance.RequestFinished(true)
	}
	for ; t.failedSeen < t.counters.Shed.Load()+t.counters.Errored.Load(); t.failedSeen++ {
		t.instance.RequestFinished(false)
	}
}

// stop ends run and waits until it has returned. It must not be called unless run was started.
func (t *recoveryTracker) stop() {
	close(t.quit)
	<-t.ended
}

// figures returns the status of recovery. It may be called from any goroutine.
func (t *recoveryTracker) figures() recovery.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.instance.Status(t.now())
}
