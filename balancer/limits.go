package balancer

// admissionControl limits the attempts in flight at caches.
type admissionControl struct {
	capacity   float64 // number of this proxy's attempts in flight to which the caches respond in time
	overloaded bool    // overload state that was last logged
}

// originLimiter adapts the number of this proxy's concurrent attempts at the origin to the origin's latency
// and errors.
type originLimiter struct {
	objective     Time    // latency within which the origin should respond
	limit         float64 // maximum number of attempts in flight; below 1, attempts are separated by pauses
	floor         float64 // lower bound of limit
	lowWater      float64 // half of the initial limit
	lastGoodLimit float64 // limit at the latest completed response of the origin
	inFlight      int
	nextAttemptAt Time          // time before which no attempt is sent
	reducedAt     Time          // time of the latest reduction of limit
	latency       movingAverage // mean latency of the origin's responses, in units of Time
	constrained   bool          // whether the limit was last logged as below lowWater
}

func newOriginLimiter(shortestObjective Time, quotaShare float64) originLimiter {
	o := originLimiter{objective: shortestObjective / 2, limit: initialOriginLimit(quotaShare)}
	o.latency.value = float64(shortestObjective) / 4
	o.setBounds(quotaShare)
	return o
}

// tenantQuota counts the requests of each tenant against the tenant's rate.
type tenantQuota struct {
	rates           []float64 // by tenant: requests per second at this proxy
	used            []float64 // by tenant: requests counted, decreasing at the tenant's rate
	updatedAt       []Time
	overQuotaWeight float64 // factor on the priority weight of requests over quota
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
