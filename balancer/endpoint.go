package balancer

// endpointState is the state of one endpoint as this proxy observes it.
type endpointState struct {
	Endpoint
	inFlight       int  // number of this proxy's attempts in flight
	silentSince    Time // time of the latest response, or of the first attempt in flight if it was sent later
	lastResponseAt Time

	ejected       bool // receives only probes until it responds
	probeAt       Time // earliest time of the next probe of an ejected endpoint
	probeInterval Time // time between probes, growing with each failure
	errorRate     float64
	overloads     movingAverage // fraction of attempts that it rejected as overloaded
	latency       movingAverage // latency of its responses, in units of Time

	excludedFraction float64 // fraction of the keys that is kept away from it because its zone is evacuated
	evacuating       bool    // attempts in flight at the endpoint are canceled

	responses       int     // number of responses since its slow start began
	slowStartBudget float64 // number of attempts that may be sent to it now
	budgetUpdatedAt Time

	gossipAt    Time    // time at which its state was last received from peers or sent to them
	suspicion   float64 // probability that it is silent according to reports of peers, as of suspicionAt
	suspicionAt Time

	points           int     // number of its ring points
	countedExclusion float64 // excluded fraction that the ring's counts contain
	visitMark        int     // mark of the latest walk that visited it
}
