package balancer

import "math"

// New returns an instance that knows no nodes yet.
func New(now Time, t Terms, seed uint64) *Instance {
	b := &Instance{
		share: 1 / float64(max(t.Proxies, 1)), aside: t.Aside, mayCancel: t.MayCancel,
		parallel: t.Parallel && t.Aside,
		maxTries: max(t.MaxTries, 1), tick: max(t.Tick, 1), cold: t.Cold, coldFrom: t.ColdFrom,
		pushed: t.FallMultiple, pushedFor: max(t.Fall, 1), beyondPart: t.BeyondShare, ask: t.Ask,
		askEvery: max(t.AskEvery, second), rough: t.RoughWeights, chance: seed, now: now,
		fetches: map[uint64]int{}, waiters: map[uint64][]int{}, wakeAt: math.MaxInt64, askAt: math.MaxInt64,
		peers: t.Peers, me: t.Me, comeBack: t.MaxRetryAfter * Time(one(t.RetryAfter)), rateAt: now, began: now,
		room: 8, spare: 5,
	}
	dearest, shortest := 0.0, 60*second
	for _, r := range t.Routes {
		dearest = max(dearest, r.Value)
		shortest = min(shortest, r.Objective)
	}
	for _, r := range t.Routes {
		f := route{Route: r, patience: r.Objective - 2*b.tick, worth: r.Value / max(dearest, 1e-9)}
		f.aim = f.patience
		if r.Overdue > 0 && !t.Punctual {
			f.patience = r.Overall
		}
		b.routes = append(b.routes, f)
	}
	shortest = max(shortest, b.tick)
	b.hush, b.originAim, b.took, b.fetch = shortest, shortest/2, float64(shortest), float64(shortest)/4
	// all proxies' limits begin at sixteen tries, and come down to eight, but that few proxies keep one each
	b.limit, b.least = min(4, max(16*b.share, 1)), min(1, 8*b.share)
	b.lean = b.limit / 2
	// a key that is passed on misses there: the dearer a fetch, the later
	b.crowd = min(0.3+t.Fetch, 0.5)
	for _, a := range t.Allowance {
		b.allowance = append(b.allowance, a*b.share)
	}
	b.spent, b.spentAt = make([]float64, len(t.Allowance)), make([]Time, len(t.Allowance))
	return b
}
