package proxy

import (
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/settings"
)

// aboutTo is how near two wake-ups are to be one: their timers are set one after the other.
const wakeMergeWindow = balancer.Time(10)

// onlooker asks a second instance of the module, under the terms to come, what it would do with all that comes to the
// first, counts by kind where it would do otherwise, and then tells it what was done. Nothing that it decides is
// carried out. An exchange is compared until the first difference on it; what comes of it after that is only learnt
// from, so that one difference is counted once.
type shadowBalancer struct {
	balancer *balancer.Instance
	wakeAt   balancer.Time // when it wants to be woken, 0: not at all
	timer    *time.Timer
	actual   map[int]*balancer.Decision // by exchange, of the call in hand
	counters *Counters
}

// Watch has the module's decisions compared with those under other terms. It is called before Run.
func (r *Router) Watch(config *settings.Book, seed uint64) {
	r.shadow = &shadowBalancer{
		balancer: balancer.New(r.clock.Now(), config.Terms, seed), timer: time.NewTimer(time.Hour),
		actual: map[int]*balancer.Decision{}, counters: r.counters,
	}
}

// decide puts a call to the module and, where there is one, to the instance that watches.
func (r *Router) decide(now balancer.Time, call func(b *balancer.Instance) []balancer.Decision) []balancer.Decision {
	decisions := call(r.balancer)
	r.withShadow(func(shadow *shadowBalancer) { shadow.compare(now, decisions, call(shadow.balancer)) })
	return decisions
}

// watched keeps what goes wrong in watching from the proxy's work: then it is over.
func (r *Router) withShadow(call func(shadow *shadowBalancer)) {
	if r.shadow == nil {
		return
	}
	well := false
	runRecovered(r.log, r.counters, func() {
		call(r.shadow)
		well = true
	})
	if !well {
		r.shadow = nil
		r.log.Error("watching has ended")
	}
}

// woken carries out the wake-up that the module asked for; the instance that watches has its own times.
func (r *Router) timerFired() {
	now := r.clock.Now()
	r.wakeAt = 0
	decisions := r.balancer.Woken(now)
	r.withShadow(func(shadow *shadowBalancer) { shadow.timerFired(now, decisions) })
	r.execute(decisions)
}

// watchWoken wakes the instance that watches, unless the module is about to be woken itself: both are then asked at
// one time, or what they agree on would look like a difference.
func (r *Router) shadowTimerFired() {
	if now := r.clock.Now(); r.wakeAt == 0 || now+wakeMergeWindow < r.wakeAt {
		r.withShadow(func(shadow *shadowBalancer) { shadow.timerFired(now, nil) })
	}
}

// due is nil where nothing watches.
func (r *Router) shadowTimer() <-chan time.Time {
	if r.shadow == nil {
		return nil
	}
	return r.shadow.timer.C
}

func (s *shadowBalancer) timerFired(now balancer.Time, decisions []balancer.Decision) {
	var would []balancer.Decision
	if s.wakeAt != 0 && now >= s.wakeAt {
		s.wakeAt = 0
		would = s.balancer.Woken(now)
	}
	s.compare(now, decisions, would)
}

// compare counts what the module did against what the instance that watches would have done, and sets that right.
func (s *shadowBalancer) compare(now balancer.Time, did, would []balancer.Decision) {
	for i := range did {
		if isFinalReply(did[i]) || did[i].Act == balancer.Send {
			s.actual[did[i].Cx] = &did[i]
		}
	}
	for i := range would {
		switch d := &would[i]; d.Act {
		case balancer.Wake:
			s.wakeAt = now + d.After
			s.timer.Reset(duration(d.After))
		case balancer.Tell:
			s.counters.WatchTold.Add(1)
		case balancer.Send, balancer.Shed, balancer.Error:
			s.compareRequest(now, d, s.actual[d.Cx])
			delete(s.actual, d.Cx)
		}
	}
	for i := range did { // in order, and not in the map's
		if d := s.actual[did[i].Cx]; d != nil {
			delete(s.actual, d.Cx)
			if s.balancer.Has(d.Cx) {
				s.compareRequest(now, nil, d)
			} else if d.Act == balancer.Send {
				s.balancer.Went(now, d.Cx, d.Node)
			}
		}
	}
}

func isFinalReply(d balancer.Decision) bool { return d.Act == balancer.Shed || d.Act == balancer.Error }

// one compares the decisions on one exchange; nil means that it is held.
func (s *shadowBalancer) compareRequest(now balancer.Time, would, did *balancer.Decision) {
	switch {
	case would != nil && did != nil && would.Act == did.Act && (isFinalReply(*did) || would.Node == did.Node):
		s.counters.WatchSame.Add(1)
		return
	case would == nil && isFinalReply(*did), would != nil && did != nil && would.Act == balancer.Send && isFinalReply(*did):
		s.counters.WatchKept.Add(1)
	case would != nil && isFinalReply(*would) && (did == nil || did.Act == balancer.Send):
		s.counters.WatchGivenUp.Add(1)
	case would == nil || did == nil:
		s.counters.WatchHeld.Add(1)
	case isFinalReply(*would):
		s.counters.WatchAnswer.Add(1)
	default:
		s.counters.WatchNode.Add(1)
	}
	slot := 0
	if would != nil {
		if slot = would.Cx; would.Act == balancer.Send {
			s.balancer.Unsent(slot)
		}
	} else {
		slot = did.Cx
	}
	if s.balancer.Has(slot) {
		s.balancer.Yield(slot)
	}
	if did != nil && did.Act == balancer.Send {
		s.balancer.Went(now, slot, did.Node)
	}
}
