package proxy

import (
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/settings"
)

// wakeMergeWindow is how near two wake-ups count as one, in the balancer's time: their timers are set one after the
// other.
const wakeMergeWindow = balancer.Time(10)

// shadowBalancer asks a second balancer, under other settings, what it would decide on all that comes to the first,
// counts by kind where it would decide otherwise, and then tells it what was done. None of its decisions is carried
// out. A request is compared until the first difference: the shadow only learns what comes of it after that, so that
// one difference is counted once.
type shadowBalancer struct {
	balancer *balancer.Balancer
	wakeAt   balancer.Time // when it wants to be woken; 0: not at all
	timer    *time.Timer
	actual   map[int]*balancer.Decision // by request slot, of the call that is being compared
	counters *Counters
}

// EnableShadow has the balancer's decisions compared with those under other settings. It is to be called before Run.
func (r *Router) EnableShadow(config *settings.Settings, seed uint64) {
	r.shadow = &shadowBalancer{
		balancer: balancer.New(r.clock.Now(), config.Balancer, seed), timer: time.NewTimer(unarmed),
		actual: map[int]*balancer.Decision{}, counters: r.counters,
	}
}

// decide puts a call to the balancer and, if there is one, to its shadow.
func (r *Router) decide(now balancer.Time, call balancerCall) []balancer.Decision {
	decisions := call(r.balancer)
	r.withShadow(func(s *shadowBalancer) { s.compare(now, decisions, call(s.balancer)) })
	return decisions
}

// withShadow keeps a panic in the shadow from the proxy's own work: the shadow ends by it.
func (r *Router) withShadow(call func(s *shadowBalancer)) {
	if r.shadow == nil {
		return
	}
	if ok := runRecovered(r.log, r.counters, func() { call(r.shadow) }); !ok {
		r.shadow = nil
		r.log.Error("shadow balancer stopped")
	}
}

// timerFired carries out the wake-up that the balancer has asked for; its shadow has times of its own.
func (r *Router) timerFired() {
	now := r.clock.Now()
	r.wakeAt = 0
	decisions := r.balancer.TimerFired(now)
	r.withShadow(func(s *shadowBalancer) { s.timerFired(now, decisions) })
	r.execute(decisions)
}

// shadowTimerFired wakes the shadow, unless the balancer is about to be woken itself: both are then asked at one time,
// or what they agree on would look like a difference.
func (r *Router) shadowTimerFired() {
	if now := r.clock.Now(); r.wakeAt == 0 || now+wakeMergeWindow < r.wakeAt {
		r.withShadow(func(s *shadowBalancer) { s.timerFired(now, nil) })
	}
}

// shadowTimer returns the channel of the shadow's wake-ups; nil where there is no shadow.
func (r *Router) shadowTimer() <-chan time.Time {
	if r.shadow == nil {
		return nil
	}
	return r.shadow.timer.C
}

// timerFired wakes the shadow if its time has come, and compares what it would do with what the balancer did.
func (s *shadowBalancer) timerFired(now balancer.Time, actual []balancer.Decision) {
	var would []balancer.Decision
	if s.wakeAt != 0 && now >= s.wakeAt {
		s.wakeAt = 0
		would = s.balancer.TimerFired(now)
	}
	s.compare(now, actual, would)
}

// compare counts what the balancer did against what its shadow would have done, and sets the shadow right.
func (s *shadowBalancer) compare(now balancer.Time, actual, would []balancer.Decision) {
	for i := range actual {
		if isFinalReply(actual[i]) || actual[i].Action == balancer.Send {
			s.actual[actual[i].Request] = &actual[i]
		}
	}
	for i := range would {
		switch d := &would[i]; d.Action {
		case balancer.SetTimer:
			s.wakeAt = now + d.After
			s.timer.Reset(duration(d.After))
		case balancer.NotifyPeer:
			s.counters.WatchTold.Add(1)
		case balancer.Send, balancer.Shed, balancer.Error:
			s.compareRequest(now, d, s.actual[d.Request])
			delete(s.actual, d.Request)
		}
	}
	for i := range actual { // in their order, which the map does not have
		if d := s.actual[actual[i].Request]; d != nil {
			delete(s.actual, d.Request)
			s.learn(now, d)
		}
	}
}

// learn tells the shadow what the balancer did where the shadow would have done nothing.
func (s *shadowBalancer) learn(now balancer.Time, actual *balancer.Decision) {
	if s.balancer.Decides(actual.Request) {
		s.compareRequest(now, nil, actual)
	} else if actual.Action == balancer.Send {
		s.balancer.RecordAttempt(now, actual.Request, actual.Endpoint)
	}
}

// compareRequest compares the decisions on one request; nil means that it is left waiting. At a difference the shadow
// gives the request up, and only learns of it from then on.
func (s *shadowBalancer) compareRequest(now balancer.Time, would, actual *balancer.Decision) {
	if would != nil && actual != nil && sameDecision(would, actual) {
		s.counters.WatchSame.Add(1)
		return
	}
	s.countDifference(would, actual)
	slot := 0
	if would != nil {
		slot = would.Request
		if would.Action == balancer.Send {
			s.balancer.RetractAttempt(slot)
		}
	} else {
		slot = actual.Request
	}
	if s.balancer.Decides(slot) {
		s.balancer.Release(slot)
	}
	if actual != nil && actual.Action == balancer.Send {
		s.balancer.RecordAttempt(now, slot, actual.Endpoint)
	}
}

func sameDecision(would, actual *balancer.Decision) bool {
	return would.Action == actual.Action && (isFinalReply(*actual) || would.Endpoint == actual.Endpoint)
}

// countDifference counts two different decisions on a request by kind; at most one of them is nil.
func (s *shadowBalancer) countDifference(would, actual *balancer.Decision) {
	actualEnds := actual != nil && isFinalReply(*actual)
	wouldEnd := would != nil && isFinalReply(*would)
	switch {
	case actualEnds && !wouldEnd:
		s.counters.WatchKept.Add(1)
	case wouldEnd && !actualEnds:
		s.counters.WatchGivenUp.Add(1)
	case would == nil || actual == nil:
		s.counters.WatchHeld.Add(1)
	case wouldEnd:
		s.counters.WatchAnswer.Add(1)
	default:
		s.counters.WatchNode.Add(1)
	}
}
