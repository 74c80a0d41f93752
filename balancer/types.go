package balancer

// Time counts tenths of a millisecond on the caller's clock. Both instants and spans are counted in it.
type Time int64

// Effect says what happens when an upstream carries out a request that it had already carried out.
type Effect uint8

const (
	// Retriable requests may be carried out any number of times.
	Retriable Effect = iota
	// Deduped requests are carried out once by the endpoints of one Group within the route's Window.
	Deduped
	// NonRetriable requests may be sent again only if no attempt can have run.
	NonRetriable
)

// Group names the endpoints that drop each other's duplicates of a Deduped request.
type Group uint8

const (
	// GroupAll is every endpoint.
	GroupAll Group = iota
	// GroupZone is the endpoints of one zone.
	GroupZone
	// GroupCell is the endpoints of one cell.
	GroupCell
)

// Route is the configuration of one class of requests.
type Route struct {
	Objective Time    // latency objective
	Overall   Time    // overall timeout
	Value     float64 // what an answer within the objective is worth
	Overdue   float64 // part of Value that a later answer earns, 0 to 1
	Effect    Effect
	Group     Group // Deduped: the endpoints that drop each other's duplicates
	Window    Time  // Deduped: how long they drop them after the first attempt
}

// Terms are the settings of a balancer. New derives its own figures from them and keeps none of them.
type Terms struct {
	Proxies        int // proxies that share the endpoints, this one included
	Me             int // number of this proxy among the peers
	Peers          int // other proxies that can be notified, 0: none
	Routes         []Route
	Allowance      []float64 // quota by tenant: requests per second, over all proxies together
	BeyondShare    float64   // factor on the priority weight of requests over quota
	Punctual       bool      // answers past the objective count as failures, rejections within it do not
	Aside          bool      // cache-aside: a cache reports a miss, and the proxy asks the origin
	Parallel       bool      // two attempts of a request may be in flight, so that reads may be hedged
	MayCancel      bool      // attempts in flight may be cancelled
	MaxTries       int       // attempts per request
	RetryAfter     bool      // rejections carry a Retry-After
	MaxRetryAfter  Time      // the longest that clients heed
	Tick           Time      // resolution of timeouts
	ConnectTimeout Time      // of the upstream connections; not used for decisions
	Ask            bool      // the endpoint list is polled, not pushed
	AskEvery       Time      // interval of polling
	Cold           Time      // how long slow start takes
	ColdFrom       float64   // share of the full load at the start of slow start
	Fall           Time      // window over which the load in slow start is counted
	FallMultiple   float64   // multiple of its capacity that brings down an endpoint in slow start
	RoughWeights   bool      // the number of ring points follows the weights, which are approximate
	Fetch          float64   // cost of a fetch from the origin, in values of a request
}

// Listing is one endpoint of the endpoint list.
type Listing struct {
	Node   int    // index; assigned anew once its endpoint has been gone for longer than any request lives
	Name   string // hashed on to the ring, otherwise not interpreted
	Origin bool
	Ready  bool // neither draining nor gone
	Since  Time // when it last started; 0: long ago or not known
	Weight float64
	Zone   int
	Cell   int
}

// Exchange is a client request as it arrives.
type Exchange struct {
	Route, Tenant int // Tenant -1: none
	Key           uint64
	Keyed         bool // Key is set; a request without a key goes to any cache
	Write         bool
	Remaining     Time // what is left of the client's timeout
	Repeat        bool // the client marks it as a retry of its own
}

// Ending is the outcome of an upstream attempt or of a health check probe.
type Ending uint8

const (
	// Completed attempts brought an answer.
	Completed Ending = iota
	// Fault is a server error.
	Fault
	// NoRoom means that the endpoint was overloaded and did not run the request.
	NoRoom
	// Silent attempts timed out without an answer.
	Silent
	// Unreachable means that connecting failed.
	Unreachable
	// Cut means that the connection was reset.
	Cut
	// Undone attempts were cancelled by the proxy.
	Undone
	// NeverSent means that the request did not leave the proxy.
	NeverSent
	// Lacking is a cache miss: the cache does not hold the key.
	Lacking
)

// Answer reports the end of an upstream attempt.
type Answer struct {
	Cx, Node int // indices of the request and of the endpoint
	Ending   Ending
	Took     Time // since the attempt was sent
	Ended    bool // the request has its final answer by it, or had it before
}

// Act names what a Decision asks the caller to do.
type Act uint8

const (
	// Send starts an attempt.
	Send Act = iota
	// Cancel cancels an attempt in flight.
	Cancel
	// Shed rejects the request; the client may safely try again.
	Shed
	// Error fails the request, which may have been carried out.
	Error
	// Wake sets the one timer, in place of the one set before, if any.
	Wake
	// Follow polls the endpoint list.
	Follow
	// Tell notifies a peer that an endpoint stopped responding or responds again.
	Tell
	// Log writes a line to the log.
	Log
)

// Decision is one thing for the caller to do. Which fields are set depends on Act.
type Decision struct {
	Act     Act
	Cx      int    // Send, Cancel, Shed, Error: index of the request
	Node    int    // Send, Tell: index of the endpoint
	Leg     int    // Cancel: number of the attempt, the first is 0
	After   Time   // Send: timeout of the attempt; Shed: Retry-After, 0 is none; Wake: from now
	Peer    int    // Tell: number of the peer
	Text    string // Log
	Answers bool   // Tell: the endpoint responds again, otherwise it stopped responding
}
