package balancer

import "math"

// Balancer makes the decisions of one proxy. It is created by New and not safe for concurrent use.
type Balancer struct {
	config
	routes []routeState
	random generator

	// now is the time of the event being handled; decisions are those made on it so far.
	now       Time
	decisions []Decision

	requests  []requestState
	endpoints []endpointState
	visitMark int   // mark of the latest walk over endpoints
	origins   []int // ready origins
	ring      ring

	pending      []int // requests to decide on, emptied by each call
	current      *requestState
	currentIndex int
	candidate    int // endpoint selected for the current request, notSearched or noEndpoint

	deadlines   deadlineHeap
	originQueue requestQueue
	coalescing  coalescer
	caches      cacheStatistics
	origin      originLimiter
	admission   admissionControl
	quota       tenantQuota
	retryBudget retryBudget

	timerAt Time // time for which the timer is set
	pollAt  Time // time of the next poll of the endpoint list
	stopsAt Time // time at which the process stops
}

// never is a time that is never reached.
const never = Time(math.MaxInt64)

// New returns a balancer without endpoints. The seed determines all of its random choices.
func New(now Time, settings Settings, seed uint64) *Balancer {
	quotaShare := 1 / float64(max(settings.Proxies, 1))
	tick := max(settings.Tick, 1)
	objective := max(shortestObjective(settings.Routes), tick)
	b := &Balancer{
		config:      newConfig(&settings, tick, objective, quotaShare),
		random:      generator{state: seed},
		now:         now,
		coalescing:  newCoalescer(),
		caches:      newCacheStatistics(now, objective),
		origin:      newOriginLimiter(objective, quotaShare),
		admission:   admissionControl{capacity: initialCapacity},
		quota:       newTenantQuota(settings.TenantQuotas, settings.OverQuotaWeight, quotaShare),
		retryBudget: initialRetryBudget,
		timerAt:     never,
		pollAt:      never,
		stopsAt:     never,
	}
	highestValue := 0.0
	for i := range settings.Routes {
		highestValue = max(highestValue, settings.Routes[i].Value)
	}
	for i := range settings.Routes {
		b.routes = append(b.routes, newRouteState(&settings.Routes[i], tick, highestValue, settings.LateIsFailure))
	}
	b.deadlines.requests = &b.requests
	return b
}
