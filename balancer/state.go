package balancer

// Instance decides for one proxy. New returns one; it is not safe for concurrent use.
type Instance struct {
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
	retryBudget float64 // retries and hedged attempts that may be sent

	wakeAt Time // when the caller will call Woken
	pollAt Time // when the endpoint list is polled again
}

// config holds the settings in the form that decisions use. Only quotaShare changes after New.
type config struct {
	quotaShare           float64 // part of all proxies' traffic that this proxy may send, 1/proxies at first
	cacheAside           bool
	mayCancel            bool
	hedging              bool // two attempts of a request may be in flight at once
	maxAttempts          int
	maxRetryAfter        Time // longest Retry-After, 0: none is sent
	tick                 Time // resolution of timeouts
	noResponseTimeout    Time // silence after which an endpoint is taken for an outlier
	slowStart            slowStartConfig
	self                 int // number of this proxy among the peers
	peerCount            int // other proxies that can be notified
	pollsList            bool
	pollInterval         Time
	approximateWeights   bool
	overloadedOwnerShare float64 // part of a request's remaining time that the answer of an overloaded owner takes
}

// slowStartConfig says how an endpoint that just started is loaded.
type slowStartConfig struct {
	period           Time
	initialShare     float64 // share of the full load at the start, growing evenly to 1
	overloadMultiple float64 // multiple of its capacity that brings down an endpoint in slow start
	overloadWindow   Time    // the span over which that load is counted
}

// routeState is a route with the figures derived from it.
type routeState struct {
	Route
	giveUpAfter         Time    // how long an answer is worth waiting for
	latencyBudget       Time    // how long an answer has its whole value
	priorityWeight      float64 // value as a part of the most valuable route's
	firstAttemptTimeout Time    // what clients give a first attempt, by majority
	timeoutVotes        int     // for firstAttemptTimeout, maxTimeoutVotes at most
}

// endpointState is what this proxy knows of one endpoint.
type endpointState struct {
	Listing
	inFlight       int  // attempts of this proxy
	silentSince    Time // no response since then, with attempts in flight
	lastResponseAt Time

	ejected      bool // sent nothing but probes until it responds
	probeAt      Time // when an ejected endpoint may be sent the next probe
	ejectionTime Time // interval of probes, growing with each failure
	errorShare   float64
	overloads    movingMean // share of attempts that it rejected as overloaded
	latency      movingMean // latency of its responses, in units of Time

	excludedShare float64 // part of the keys that avoid it since its zone is evacuated
	evacuating    bool    // attempts in flight there are cancelled

	responses       int     // since its slow start began
	slowStartBudget float64 // attempts that it may be sent now
	budgetUpdatedAt Time

	gossipAt    Time    // when its state was last received from peers or sent to them
	suspicion   float64 // how likely it is silent by the word of peers, as of suspicionAt
	suspicionAt Time

	points        int  // on the ring
	pointsChanged bool // by the latest endpoint list
	visitMark     int  // stamp of the latest walk that met it
}

// requestState is one client request while it is unanswered or has attempts in flight. Indices are reused.
type requestState struct {
	Exchange
	live        bool // the client still waits for an answer
	streaming   bool // the answer has begun
	unadmitted  bool // admission control has not seen it yet
	rejected    bool // by admission control
	overQuota   bool // of its tenant
	deadline    Time // last moment of the final answer
	giveUpAt    Time // an answer after this is worth nothing
	objectiveAt Time // an answer after this misses the latency objective
	nextCheckAt Time
	heapIndex   int // in the heap of deadlines, -1: none

	needsOrigin bool // a cache missed, or it is a write
	queued      bool // for capacity at the origin
	leadsFetch  bool // others wait for its fetch
	following   bool // it waits for another's fetch
	hasFollowed bool // it has waited once

	attempts         int // sent so far
	inFlight         int
	endpoint         int // of the latest attempt in flight, or that was
	attempt          int // number of that attempt
	previousEndpoint int // of the attempt before it
	sentAt           Time
	triedEndpoints   []int
	wasReset         bool // the connection of its latest attempt was reset
	evacuated        bool // its latest attempt was cancelled since the zone is evacuated
	mayHaveRun       bool // some attempt may have been carried out
	firstRunAt       Time // when the first such attempt was sent
	firstRunEndpoint int
}

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

// tenantQuota counts the requests of each tenant against its rate.
type tenantQuota struct {
	rates           []float64 // by tenant, requests per second of this proxy
	used            []float64 // by tenant, falls at its rate
	updatedAt       []Time
	overQuotaWeight float64 // factor on the priority weight of requests over quota
}

// outcome is the end of an attempt with what is learnt from it.
type outcome struct {
	Answer
	request   *requestState
	endpoint  *endpointState
	responded bool // the endpoint sent a response of any kind
	late      bool // of the latency objective
	// failedProbe: an ejected endpoint did not answer. That says nothing of the load on the others.
	failedProbe bool
}
