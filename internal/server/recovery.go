package server

import (
	"sync"
	"time"

	"woodproxy/internal/proxy"
	"woodproxy/recovery"

	"go.uber.org/zap"
)

// recoveryInterval is the time between two looks at what the stages of recovery depend on.
const recoveryInterval = 100 * time.Millisecond

// recoveryTracker follows the stages of recovery after the start, and has the state stored meanwhile and from then on.
type recoveryTracker struct {
	gossip    *gossipAdapter
	endpoints *proxy.EndpointList
	counters  *proxy.Counters
	log       *zap.Logger
	clock     proxy.Clock
	writer    *snapshotWriter

	quit  chan struct{} // closed by stop
	ended chan struct{} // closed when run has returned

	completedSeen int64 // of the counters, what the instance was told; used by run only
	failedSeen    int64

	mu       sync.Mutex
	instance *recovery.Tracker // guarded by mu
}

// newRecoveryTracker returns a tracker in the first stage.
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

// run follows the stages and writes snapshots until stop.
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

// tick tells the recovery module what has happened since the last tick, and returns the changes of stage.
func (t *recoveryTracker) tick() []recovery.StageChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reportAnswers()
	changes := t.instance.Tick(t.now())
	if t.endpoints.LatestIndex() > 0 {
		changes = append(changes, t.instance.EndpointListReceived(t.now())...)
	}
	if status := t.gossip.sender.status(); status != nil {
		alive := -1 // others than this proxy, which is a member too
		for i := range status.Members {
			if isAlive(&status.Members[i]) {
				alive++
			}
		}
		changes = append(changes, t.instance.UpdatePeers(t.now(), alive, status.CatchingUp)...)
	}
	return changes
}

// reportAnswers reports the requests that were answered in time, and those that were not. The caller holds the lock.
func (t *recoveryTracker) reportAnswers() {
	for ; t.completedSeen < t.counters.Completed.Load(); t.completedSeen++ {
		t.instance.RequestFinished(true)
	}
	for ; t.failedSeen < t.counters.Shed.Load()+t.counters.Errored.Load(); t.failedSeen++ {
		t.instance.RequestFinished(false)
	}
}

// stop ends run and waits for it. Run must have been started.
func (t *recoveryTracker) stop() {
	close(t.quit)
	<-t.ended
}

// figures returns how recovery stands. It may be called from any goroutine.
func (t *recoveryTracker) figures() recovery.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.instance.Status(t.now())
}
