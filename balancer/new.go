package balancer

import "math"

// never is an instant that does not come.
const never = Time(math.MaxInt64)

// New returns an Instance that knows no endpoints yet. The seed determines all of its random choices.
func New(now Time, settings Terms, seed uint64) *Instance {
	quotaShare := 1 / float64(max(settings.Proxies, 1))
	tick := max(settings.Tick, 1)
	objective := max(shortestObjective(settings.Routes), tick)
	b := &Instance{
		config:      newConfig(&settings, tick, objective, quotaShare),
		random:      generator{state: seed},
		now:         now,
		coalescing:  newCoalescer(),
		caches:      newCacheStatistics(now, objective),
		origin:      newOriginLimiter(objective, quotaShare),
		admission:   admissionControl{capacity: initialCapacity},
		quota:       newTenantQuota(settings.Allowance, settings.BeyondShare, quotaShare),
		retryBudget: initialRetryBudget,
		wakeAt:      never,
		pollAt:      never,
	}
	highestValue := 0.0
	for i := range settings.Routes {
		highestValue = max(highestValue, settings.Routes[i].Value)
	}
	for i := range settings.Routes {
		b.routes = append(b.routes, newRouteState(&settings.Routes[i], tick, highestValue, settings.Punctual))
	}
	b.deadlines.requests = &b.requests
	return b
}

func newConfig(settings *Terms, tick, objective Time, quotaShare float64) config {
	c := config{
		quotaShare:        quotaShare,
		cacheAside:        settings.Aside,
		mayCancel:         settings.MayCancel,
		hedging:           settings.Parallel && settings.Aside,
		maxAttempts:       max(settings.MaxTries, 1),
		tick:              tick,
		noResponseTimeout: objective,
		slowStart: slowStartConfig{
			period: settings.Cold, initialShare: settings.ColdFrom,
			overloadMultiple: settings.FallMultiple, overloadWindow: max(settings.Fall, 1),
		},
		self:                 settings.Me,
		peerCount:            settings.Peers,
		pollsList:            settings.Ask,
		pollInterval:         max(settings.AskEvery, second),
		approximateWeights:   settings.RoughWeights,
		overloadedOwnerShare: overloadedOwnerShareFor(settings.Fetch),
	}
	if settings.RetryAfter {
		c.maxRetryAfter = settings.MaxRetryAfter
	}
	return c
}

// shortestObjective is that of all routes, a minute at most.
func shortestObjective(routes []Route) Time {
	shortest := 60 * second
	for i := range routes {
		shortest = min(shortest, routes[i].Objective)
	}
	return shortest
}

func newOriginLimiter(shortestObjective Time, quotaShare float64) originLimiter {
	o := originLimiter{objective: shortestObjective / 2, limit: initialOriginLimit(quotaShare)}
	o.latency.value = float64(shortestObjective) / 4
	o.setBounds(quotaShare)
	return o
}

func newTenantQuota(rates []float64, overQuotaWeight, quotaShare float64) tenantQuota {
	q := tenantQuota{
		used: make([]float64, len(rates)), updatedAt: make([]Time, len(rates)), overQuotaWeight: overQuotaWeight,
	}
	for _, rate := range rates {
		q.rates = append(q.rates, rate*quotaShare)
	}
	return q
}
