package proxy

import (
	"math/rand/v2"
	"slices"
	"testing"

	"woodproxy/balancer"
	"woodproxy/internal/settings"
)

// A panic in the shadow disables the shadow and does not affect the balancer's decision.
func TestShadowPanicDisablesShadowOnly(t *testing.T) {
	router := newTestRouter()
	router.shadow = &shadowBalancer{} // without a balancer, so that each call panics
	decisions := router.decide(1, func(b *balancer.Balancer) []balancer.Decision {
		return b.Arrive(1, 0, balancer.Request{Tenant: -1, RemainingTimeout: 12000})
	})
	if len(decisions) == 0 || decisions[0].Action != balancer.Shed || router.shadow != nil {
		t.Errorf("got decisions %v, shadow enabled %v, want a rejection and no shadow", decisions, router.shadow != nil)
	}
}

// shadowRequests is the number of requests to the two balancers. Each has its own slot, so that no slot is reused too
// soon.
const shadowRequests = 8000

// simulatedAttempt is an attempt with its predetermined end and outcome.
type simulatedAttempt struct {
	slot, host     int
	sentAt, endsAt balancer.Time
	outcome        balancer.Outcome
}

// shadowTraffic sends requests with random outcomes to a router's balancer and its shadow.
type shadowTraffic struct {
	router   *Router
	random   *rand.Rand
	attempts []simulatedAttempt // in flight
	finished []bool             // by request
	wakeAt   balancer.Time      // time at which the balancer's timer is due; 0: no timer is set
}

// newShadowTraffic returns traffic for a balancer and a shadow whose settings are modified by change.
func newShadowTraffic(change func(*balancer.Settings)) *shadowTraffic {
	config := balancer.Settings{
		Routes: []balancer.Route{{Objective: 2000, Timeout: 6000, Value: 1}}, Proxies: 4, MaxAttempts: 3,
		Tick: 10, CacheAside: true, SlowStart: 50000, SlowStartInitialFraction: 0.3, SlowStartOverloadWindow: 20000, SlowStartOverloadMultiple: 3, MayCancel: true,
	}
	shadowConfig := config
	shadowConfig.Routes = append([]balancer.Route{}, config.Routes...)
	change(&shadowConfig)
	router := newTestRouter()
	router.balancer = balancer.New(0, config, 1)
	router.EnableShadow(&settings.Settings{Balancer: shadowConfig}, 1)
	router.shadow.balancer = balancer.New(0, shadowConfig, 1)
	return &shadowTraffic{
		router: router, random: rand.New(rand.NewPCG(1, 2)), finished: make([]bool, shadowRequests),
	}
}

// apply carries out the balancer's decisions.
func (s *shadowTraffic) apply(now balancer.Time, decisions []balancer.Decision) {
	for _, d := range decisions {
		switch d.Action {
		case balancer.Send:
			s.attempts = append(s.attempts, simulatedAttempt{
				d.Request, d.Endpoint, now, now + min(d.After, balancer.Time(s.random.IntN(2500))), balancer.Outcome(s.random.IntN(9)),
			})
		case balancer.Shed, balancer.Error:
			s.finished[d.Request] = true
		case balancer.SetTimer:
			s.wakeAt = now + d.After
		}
	}
}

// listNodes updates both balancers with five caches and an origin.
func (s *shadowTraffic) listNodes() {
	var listings []balancer.Endpoint
	for i, name := range []string{"a", "b", "c", "d", "e", "o"} {
		listings = append(listings, balancer.Endpoint{Index: i, Name: name, Origin: name == "o", Ready: true, Weight: 1})
	}
	s.apply(0, s.router.decide(0, func(b *balancer.Balancer) []balancer.Decision {
		return b.UpdateEndpoints(0, balancer.EndpointUpdate{Complete: true, First: true, Endpoints: listings})
	}))
}

// wake handles the timers of the balancer and its shadow that are due.
func (s *shadowTraffic) wake(now balancer.Time) {
	balancerDue := s.wakeAt != 0 && now >= s.wakeAt
	shadowDue := s.router.shadow.wakeAt != 0 && now >= s.router.shadow.wakeAt
	if !balancerDue && !shadowDue {
		return
	}
	var decisions []balancer.Decision
	if balancerDue {
		s.wakeAt = 0
		decisions = s.router.balancer.TimerFired(now)
	}
	s.router.withShadow(func(shadow *shadowBalancer) { shadow.timerFired(now, decisions) })
	s.apply(now, decisions)
}

// finishAttempts finishes the attempts that are due.
func (s *shadowTraffic) finishAttempts(now balancer.Time) {
	for i := 0; i < len(s.attempts); i++ {
		a := s.attempts[i]
		if a.endsAt > now {
			continue
		}
		s.attempts = slices.Delete(s.attempts, i, i+1)
		i--
		s.finished[a.slot] = s.finished[a.slot] || a.outcome == balancer.Completed
		result := balancer.AttemptResult{
			Request: a.slot, Endpoint: a.host, Outcome: a.outcome, Latency: now - a.sentAt, Replied: s.finished[a.slot],
		}
		s.apply(now, s.router.decide(now, func(b *balancer.Balancer) []balancer.Decision {
			return b.AttemptFinished(now, result)
		}))
	}
}

// arrive sends a request to the balancer and its shadow.
func (s *shadowTraffic) arrive(now balancer.Time, slot int) {
	request := balancer.Request{
		Tenant: -1, RemainingTimeout: 6000, Key: s.random.Uint64N(50), HasKey: true, Write: s.random.IntN(9) == 0,
	}
	s.apply(now, s.router.decide(now, func(b *balancer.Balancer) []balancer.Decision {
		return b.Arrive(now, slot, request)
	}))
}

// run simulates all requests to their end, and returns the counters.
func (s *shadowTraffic) run(t *testing.T) *Counters {
	t.Helper()
	s.listNodes()
	slot := 0
	for now := balancer.Time(10); slot < len(s.finished) || len(s.attempts) > 0; now += 10 {
		s.wake(now)
		s.finishAttempts(now)
		for n := s.random.IntN(3); n > 0 && slot < len(s.finished); n-- {
			s.arrive(now, slot)
			slot++
		}
	}
	if s.router.shadow == nil || s.router.shadow.balancer.InFlight() != 0 {
		t.Fatal("the shadow panicked or counts attempts that are not in flight")
	}
	return s.router.counters
}

// differences returns the number of decisions that differed, of all kinds.
func differences(c *Counters) int64 {
	return c.WatchNode.Load() + c.WatchHeld.Load() + c.WatchGivenUp.Load() + c.WatchKept.Load() + c.WatchAnswer.Load()
}

// A balancer and its shadow receive thousands of requests with all outcomes. With the same settings their decisions never
// differ. With other settings decisions differ, and the shadow still counts no attempt that is not in flight and no
// request more than once on average.
func TestShadowComparesAllOutcomes(t *testing.T) {
	t.Run("same settings", func(t *testing.T) {
		c := newShadowTraffic(func(*balancer.Settings) {}).run(t)
		if differences(c) != 0 || c.WatchSame.Load() < shadowRequests {
			t.Errorf("same settings: got differences or too few equal decisions: %s", c)
		}
	})
	for _, test := range []struct {
		name   string
		change func(*balancer.Settings)
	}{
		{"many proxies", func(o *balancer.Settings) { o.Proxies, o.PeerCount, o.Self = 400, 399, 7 }},
		{"one attempt", func(o *balancer.Settings) { o.MaxAttempts = 1 }},
		{"late replies have value", func(o *balancer.Settings) { o.Routes[0].LateValue = 0.5 }},
		{"short objective", func(o *balancer.Settings) { o.Routes[0].Objective = 500 }},
		{"deduplicated", func(o *balancer.Settings) { o.Routes[0].Effect, o.Routes[0].DedupWindow = balancer.Deduped, 500 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			if c := newShadowTraffic(test.change).run(t); differences(c) == 0 || differences(c) > shadowRequests {
				t.Errorf("%s: got no differences, or more than shadowRequests: %s", test.name, c)
			}
		})
	}
}
