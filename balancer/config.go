package balancer

// config holds the settings in the form in which decisions use them. Only quotaShare changes after New.
type config struct {
	quotaShare         float64 // fraction of all proxies' traffic that this one may send, 1/proxies initially
	cacheAside         bool
	mayCancel          bool
	hedging            bool // two attempts of a request may be in flight at once
	maxAttempts        int
	maxRetryAfter      Time // longest Retry-After; 0: none is sent
	tick               Time // resolution of timeouts
	noResponseTimeout  Time // time without a response after which an endpoint may be ejected as an outlier
	slowStart          slowStartConfig
	self               int // number of this proxy among the peers
	peerCount          int // number of other proxies that can be notified
	pollsList          bool
	pollInterval       Time
	approximateWeights bool
	// fraction of a request's remaining time above which its owner's latency is too high
	overloadedOwnerFraction float64
}

// slowStartConfig determines the load on an endpoint in slow start.
type slowStartConfig struct {
	period           Time
	initialFraction  float64 // fraction of the full load at the beginning; it grows linearly to 1
	overloadMultiple float64 // multiple of its capacity at which an endpoint in slow start fails
	overloadWindow   Time    // window over which that load is measured
}

func newConfig(settings *Settings, tick, objective Time, quotaShare float64) config {
	c := config{
		quotaShare:        quotaShare,
		cacheAside:        settings.CacheAside,
		mayCancel:         settings.MayCancel,
		hedging:           settings.ParallelAttempts && settings.CacheAside,
		maxAttempts:       max(settings.MaxAttempts, 1),
		tick:              tick,
		noResponseTimeout: objective,
		slowStart: slowStartConfig{
			period: settings.SlowStart, initialFraction: settings.SlowStartInitialFraction,
			overloadMultiple: settings.SlowStartOverloadMultiple,
			overloadWindow:   max(settings.SlowStartOverloadWindow, 1),
		},
		self:                    settings.Self,
		peerCount:               settings.PeerCount,
		pollsList:               settings.PollsList,
		pollInterval:            max(settings.PollInterval, second),
		approximateWeights:      settings.ApproximateWeights,
		overloadedOwnerFraction: overloadedOwnerFractionFor(settings.FetchCost),
	}
	if settings.RetryAfter {
		c.maxRetryAfter = settings.MaxRetryAfter
	}
	return c
}

// shortestObjective returns the shortest latency objective of all routes, a minute at most.
func shortestObjective(routes []Route) Time {
	shortest := 60 * second
	for i := range routes {
		shortest = min(shortest, routes[i].Objective)
	}
	return shortest
}
