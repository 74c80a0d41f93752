package balancer

// admissionControl bounds the attempts in flight at caches.
type admissionControl struct {
	capacity   float64 // attempts of this proxy in flight that the caches answer in time
	overloaded bool    // as last logged
}

// originLimiter adapts the concurrency of this proxy at the origin to how the origin answers.
type originLimiter struct {
	objective     Time    // the origin's answers should take no longer
	limit         float64 // attempts in flight; below one, attempts are sent with pauses between them
	floor         float64
	lowWater      float64 // half of what the limit begins at
	lastGoodLimit float64 // the limit when the origin last answered
	inFlight      int
	nextAttemptAt Time       // none is sent before
	reducedAt     Time       // when the limit was last reduced
	latency       movingMean // of its answers, in units of Time
	constrained   bool       // the limit is below its low-water mark, as last logged
}

func newOriginLimiter(shortestObjective Time, quotaShare float64) originLimiter {
	o := originLimiter{objective: shortestObjective / 2, limit: initialOriginLimit(quotaShare)}
	o.latency.value = float64(shortestObjective) / 4
	o.setBounds(quotaShare)
	return o
}

// tenantQuota counts the requests of each tenant against its rate.
type tenantQuota struct {
	rates           []float64 // by tenant, requests per second of this proxy
	used            []float64 // by tenant, falls at its rate
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
