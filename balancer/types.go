package balancer

// Time is an instant on the caller's clock or a duration, in tenths of a millisecond.
type Time int64

// Effect is the effect of executing a request of a route more than once.
type Effect uint8

const (
	// Retriable requests may be executed any number of times.
	Retriable Effect = iota
	// Deduped requests are executed once by the endpoints of one Group within the route's DedupWindow.
	Deduped
	// NonRetriable requests may be sent again only if no attempt can have been executed.
	NonRetriable
)

// Group is the set of endpoints that drop each other's duplicates of a Deduped request.
type Group uint8

const (
	// GroupAll contains all endpoints.
	GroupAll Group = iota
	// GroupZone contains the endpoints of one zone.
	GroupZone
	// GroupCell contains the endpoints of one cell.
	GroupCell
)

// Route is the configuration of one class of requests.
type Route struct {
	Objective   Time    // latency objective
	Timeout     Time    // overall timeout
	Value       float64 // value of a response within the objective
	LateValue   float64 // fraction of Value that a later response has, 0 to 1
	Effect      Effect
	Group       Group // Deduped: the endpoints that drop each other's duplicates
	DedupWindow Time  // Deduped: time after the first attempt within which duplicates are dropped
}

// Settings holds the settings of a balancer. New derives its own values from them and does not keep them.
type Settings struct {
	Proxies                   int // number of proxies that share the endpoints, including this one
	Self                      int // number of this proxy among the peers
	PeerCount                 int // number of other proxies that can be notified
	Routes                    []Route
	TenantQuotas              []float64 // quota by tenant: requests per second, summed over all proxies
	OverQuotaWeight           float64   // factor on the priority weight of requests over quota
	LateIsFailure             bool      // responses past the objective are failures, rejections in time are not
	CacheAside                bool      // cache-aside: caches report misses, the proxy fetches from the origin
	ParallelAttempts          bool      // a request may have two attempts in flight, which permits read hedging
	MayCancel                 bool      // attempts in flight may be canceled
	MaxAttempts               int       // maximum number of attempts per request
	RetryAfter                bool      // rejections carry a Retry-After
	MaxRetryAfter             Time      // longest Retry-After that clients respect
	Tick                      Time      // resolution of timeouts
	ConnectTimeout            Time      // timeout for opening upstream connections; not used for decisions
	PollsList                 bool      // the endpoint list is polled, not pushed
	PollInterval              Time      // polling interval of the endpoint list
	SlowStart                 Time      // duration of slow start
	SlowStartInitialFraction  float64   // fraction of the full load at the beginning of slow start
	SlowStartOverloadWindow   Time      // window over which the load in slow start is measured
	SlowStartOverloadMultiple float64   // multiple of its capacity at which an endpoint in slow start fails
	ApproximateWeights        bool      // endpoint weights are approximate; numbers of ring points follow them
	FetchCost                 float64   // cost of a fetch from the origin, in units of the value of a request
}

// Endpoint is one endpoint of the endpoint list.
type Endpoint struct {
	Index     int    // reused only after its last endpoint has been gone for longer than any request lives
	Name      string // determines the ring points, otherwise not interpreted
	Origin    bool
	Ready     bool // neither draining nor gone
	StartedAt Time // when it last started; 0: long ago or unknown
	Weight    float64
	Zone      int
	Cell      int
}

// EndpointUpdate is the complete endpoint list or a change to it.
type EndpointUpdate struct {
	Complete  bool // the list is complete: endpoints that it does not contain are gone
	First     bool // the first list, which is complete; none of its endpoints counts as newly started
	Endpoints []Endpoint
}

// Request is a client request on arrival.
type Request struct {
	Route, Tenant    int // indices of the route and of the tenant; Tenant -1: none
	Key              uint64
	HasKey           bool // Key is set; a request without a key may go to any cache
	Write            bool
	RemainingTimeout Time // time until the client's timeout
	Waited           Time // time for which the request has waited at the proxy, by which RemainingTimeout is shorter
	ClientRetry      bool // the client marks the request as its own retry
}

// Outcome is the outcome of an upstream attempt or of a health check probe.
type Outcome uint8

const (
	// Completed attempts received a complete response.
	Completed Outcome = iota
	// ServerError means that the endpoint responded with a server error.
	ServerError
	// Overloaded means that the endpoint was overloaded and did not execute the request.
	Overloaded
	// TimedOut attempts received no response before their timeout.
	TimedOut
	// ConnectFailed means that no connection to the endpoint could be opened.
	ConnectFailed
	// Reset means that the connection was reset.
	Reset
	// Canceled attempts were canceled by the proxy.
	Canceled
	// NotSent means that the request did not leave the proxy.
	NotSent
	// CacheMiss means that the cache does not hold the key.
	CacheMiss
)

// AttemptResult reports the end of an upstream attempt.
type AttemptResult struct {
	Request, Endpoint int // indices of the request and of the endpoint
	Outcome           Outcome
	Latency           Time // since the attempt was sent
	Replied           bool // the request has its final reply, through this attempt or from earlier
	// Unconfirmed means that the outcome says that the attempt was not executed, but that the response may belong to another
	// request, so that the attempt may have been executed.
	Unconfirmed bool
}

// Action is the operation that a Decision requests from the caller.
type Action uint8

const (
	// Send starts an attempt.
	Send Action = iota
	// Cancel cancels an attempt in flight.
	Cancel
	// Deliver begins the reply to the request with the response that an attempt in flight is receiving.
	Deliver
	// Shed rejects the request; a retry by the client is safe.
	Shed
	// Error fails the request, which may have been executed.
	Error
	// SetTimer sets the only timer, which replaces the previous one.
	SetTimer
	// PollEndpoints polls the endpoint list.
	PollEndpoints
	// NotifyPeer notifies a peer that an endpoint has stopped responding or responds again.
	NotifyPeer
	// Log writes a line to the log.
	Log
)

// Decision is one operation for the caller to carry out. Action determines which of the other fields are set.
type Decision struct {
	Action   Action
	Request  int    // Send, Cancel, Deliver, Shed, Error: index of the request
	Endpoint int    // Send, NotifyPeer: index of the endpoint
	Attempt  int    // Cancel, Deliver: number of the attempt, from 0
	After    Time   // Send: timeout of the attempt; Shed: Retry-After, 0: none; SetTimer: delay from now
	Peer     int    // NotifyPeer: number of the peer
	Text     string // Log
	Responds bool   // NotifyPeer: the endpoint responds again; otherwise it has stopped responding
	Reason   Reason // Send, Shed, Error
}
