package proxy

import (
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/settings"
)

// wakeMergeWindow is the time, in the balancer's ticks, within which the timers of the balancer and its shadow count as
// one: they are set one after the other.
const wakeMergeWindow = balancer.Time(10)

// shadowBalancer runs a second balancer with other settings on the same calls, counts by kind the decisions that differ,
// and then updates the second balancer with the actual decisions. None of its own decisions is carried out. A request is
// compared until the first difference, so that one difference is counted once: from then on the shadow only records
// the request's actual attempts.
type shadowBalancer struct {
	balancer *balancer.Balancer
	wakeAt   balancer.Time // time at which the shadow's timer is due; 0: no timer is set
	timer    *time.Timer
	actual   map[int]*balancer.Decision // the balancer's decisions in the current call, by request slot
	counters *Counters
}

// EnableShadow starts the comparison of the balancer's decisions with those under other settings. It must be called
// before Run.
func (r *Router) EnableShadow(config *settings.Settings, seed uint64) {
	r.shadow = &shadowBalancer{
		balancer: balancer.New(r.clock.Now(), config.Balancer, seed), timer: time.NewTimer(unarmed),
		actual: map[int]*balancer.Decision{}, counters: r.counters,
	}
}

// decide runs a call on the balancer and, if there is one, on its shadow. It returns the balancer's decisions.
func (r *Router) decide(now balancer.Time, call balancerCall) []balancer.Decision {
	decisions := call(r.balancer)
	r.withShadow(func(s *shadowBalancer) { s.compare(now, decisions, call(s.balancer)) })
	return decisions
}

// withShadow runs a call on the shadow, if there is one. A panic in the call disables the shadow and nothing else.
func (r *Router) withShadow(call func(s *shadowBalancer)) {
	if r.shadow == nil {
		return
	}
	if ok := runRecovered(r.log, r.counters, func() { call(r.shadow) }); !ok {
		r.shadow = nil
		r.log.Error("shadow balancer stopped")
	}
}

// timerFired handles the balancer's timer. The shadow has a timer of its own, which is handled as well if it is due.
func (r *Router) timerFired() {
	now := r.clock.Now()
	r.wakeAt = 0
	decisions := r.balancer.TimerFired(now)
	r.withShadow(func(s *shadowBalancer) { s.timerFired(now, decisions) })
	r.execute(decisions)
}

// shadowTimerFired handles the shadow's timer, unless the balancer's timer is about to fire: both are then handled at
// the same time, since equal decisions would otherwise look like a difference.
func (r *Router) shadowTimerFired() {
	if now := r.clock.Now(); r.wakeAt == 0 || now+wakeMergeWindow < r.wakeAt {
		r.withShadow(func(s *shadowBalancer) { s.timerFired(now, nil) })
	}
}

// shadowTimer returns the channel of the shadow's timer, or nil if there is no shadow.
func (r *Router) shadowTimer() <-chan time.Time {
	if r.shadow == nil {
		return nil
	}
	return r.shadow.timer.C
}

// timerFired handles the shadow's timer if it is due, and compares the decisions with the balancer's.
func (s *shadowBalancer) timerFired(now balancer.Time, actual []balancer.Decision) {
	var hypothetical []balancer.Decision
	if s.wakeAt != 0 && now >= s.wakeAt {
		s.wakeAt = 0
		hypothetical = s.balancer.TimerFired(now)
	}
	s.compare(now, actual, hypothetical)
}

// compare counts equal and different decisions of the balancer and its shadow, and updates the shadow with the actual
// ones.
func (s *shadowBalancer) compare(now balancer.Time, actual, hypothetical []balancer.Decision) {
	for i := range actual {
		if isFinalReply(actual[i]) || actual[i].Action == balancer.Send {
			s.actual[actual[i].Request] = &actual[i]
		}
	}
	for i := range hypothetical {
		switch d := &hypothetical[i]; d.Action {
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
	for i := range actual { // in the order of the decisions, unlike the map
		if d := s.actual[actual[i].Request]; d != nil {
			delete(s.actual, d.Request)
			s.recordActual(now, d)
		}
	}
}

// recordActual updates the shadow with a decision of the balancer for which the shadow has no decision of its own.
func (s *shadowBalancer) recordActual(now balancer.Time, actual *balancer.Decision) {
	if s.balancer.Decides(actual.Request) {
		s.compareRequest(now, nil, actual)
	} else if actual.Action == balancer.Send {
		s.balancer.RecordAttempt(now, actual.Request, actual.Endpoint)
	}
}

// compareRequest compares the decisions on one request; nil means that the request is left waiting. At a difference the
// shadow releases the request, and from then on only records its actual attempts.
func (s *shadowBalancer) compareRequest(now balancer.Time, hypothetical, actual *balancer.Decision) {
	if hypothetical != nil && actual != nil && sameDecision(hypothetical, actual) {
		s.counters.WatchSame.Add(1)
		return
	}
	s.countDifference(hypothetical, actual)
	slot := 0
	if hypothetical != nil {
		slot = hypothetical.Request
		if hypothetical.Action == balancer.Send {
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

func sameDecision(hypothetical, actual *balancer.Decision) bool {
	return hypothetical.Action == actual.Action && (isFinalReply(*actual) || hypothetical.Endpoint == actual.Endpoint)
}

// countDifference counts the difference between two decisions on a request by kind. At most one of them is nil.
func (s *shadowBalancer) countDifference(hypothetical, actual *balancer.Decision) {
	actualEnds := actual != nil && isFinalReply(*actual)
	hypotheticalEnds := hypothetical != nil && isFinalReply(*hypothetical)
	switch {
	case actualEnds && !hypotheticalEnds:
		s.counters.WatchKept.Add(1)
	case hypotheticalEnds && !actualEnds:
		s.counters.WatchGivenUp.Add(1)
	case hypothetical == nil || actual == nil:
		s.counters.WatchHeld.Add(1)
	case hypotheticalEnds:
		s.counters.WatchAnswer.Add(1)
	default:
		s.counters.WatchNode.Add(1)
	}
}
