package balancer

// routeState is a route with the figures derived from it.
type routeState struct {
	Route
	giveUpAfter         Time    // how long an answer is worth waiting for
	latencyBudget       Time    // how long an answer has its whole value
	priorityWeight      float64 // value as a part of the most valuable route's
	firstAttemptTimeout Time    // what clients give a first attempt, by majority
	timeoutVotes        int     // for firstAttemptTimeout, maxTimeoutVotes at most
}
