package balancer

// routeState is a route with the values derived from it.
type routeState struct {
	Route
	giveUpAfter         Time    // time after which a response has no value
	latencyBudget       Time    // time within which a response has its full value
	priorityWeight      float64 // value as a fraction of the highest value of all routes
	firstAttemptTimeout Time    // remaining timeout with which most first attempts by clients arrive
	timeoutVotes        int     // votes for firstAttemptTimeout, at most maxTimeoutVotes
}
