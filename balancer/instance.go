package balancer

import "math"

// Balancer decides for one proxy. New returns one; it is not safe for concurrent use.
type Balancer struct {
	config
	routes []routeState
	random generator

	// now is the clock of the event being handled, decisions what it has led to so far.
	now       Time
	decisions []Decision

	requests  []requestState
	endpoints []endpointState
	visitMark int   // stamp of the latest walk over endpoints
	origins   []int // ready origins
	ring      ring

	pending      []int // requests to decide on, emptied by each call
	current      *requestState
	currentIndex int
	candidate    int // endpoint chosen for the current request, notSearched or noEndpoint

	deadlines   deadlineHeap
	originQueue requestQueue
	coalescing  coalescer
	caches      cacheStatistics
	origin      originLimiter
	admission   admissionControl
	quota       tenantQuota
	retryBudget retryBudget

	wakeAt Time // when the caller will report the timer
	pollAt Time // when the endpoint list is polled again
}

// never is an instant that does not come.
const never = Time(math.MaxInt64)

// New returns a balancer that knows no endpoints yet. The seed determines all of its random choices.
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
		wakeAt:      never,
		pollAt:      never,
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
