package balancer

// Time counts tenths of a millisecond on the caller's clock; spans use it too.
type Time int64

// Effect tells what a repeat of an exchange does.
type Effect uint8

const (
	Retriable Effect = iota
	Deduped
	NonRetriable
)

// Group names the nodes that drop each other's repeats of a deduped exchange.
type Group uint8

const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Route is what the operators state of one class of exchanges.
type Route struct {
	Objective, Overall Time    // latency objective, overall timeout
	Value, Overdue     float64 // value in time, part of it earned when overdue
	Effect             Effect
	Group              Group
	Window             Time // how long repeats are dropped
}

// Terms is what an instance is told at its start. New derives its figures from it and keeps none of it.
type Terms struct {
	Proxies                int // proxies that share the nodes, this one included
	Me                     int // this one's number
	Peers                  int // those of them that may be told something, 0: none
	Routes                 []Route
	Allowance              []float64 // by tenant: exchanges a second within its share, all proxies together
	BeyondShare            float64
	Punctual               bool // misses of the objective are counted, sheds within it are not
	Aside                  bool // a cache that lacks a key says so; we ask the origin
	Parallel, MayCancel    bool
	MaxTries               int
	RetryAfter             bool
	MaxRetryAfter          Time
	Tick                   Time
	ConnectTimeout         Time
	Ask                    bool // the list comes only when asked for
	AskEvery               Time
	Cold, Fall             Time
	ColdFrom, FallMultiple float64
	RoughWeights           bool
	Fetch                  float64 // fee for a fetch from the origin, in values of an exchange
}

// Listing is one line of the node list.
type Listing struct {
	Node   int    // small index; another's once that has been gone for longer than any exchange lives
	Name   string // hashed on to the ring, never read
	Origin bool
	Ready  bool // neither draining nor gone
	Since  Time // when it last started; 0: long ago
	Weight float64
	Zone   int
	Cell   int
}

// Exchange is one client request as it arrives.
type Exchange struct {
	Route, Tenant int // Tenant -1: none
	Key           uint64
	Keyed         bool
	Write         bool
	Remaining     Time
	Repeat        bool // the client says that it asks again
}

// Ending is how an upstream try, or a probe, ended.
type Ending uint8

const (
	Completed Ending = iota
	Fault
	NoRoom
	Silent
	Unreachable
	Cut
	Undone
	NeverSent
	Lacking
)

// Answer reports the end of an upstream try.
type Answer struct {
	Cx, Node int
	Ending   Ending
	Took     Time
	Ended    bool // the exchange is over with it, or was before
}

// Act names what a Decision asks the caller to do.
type Act uint8

const (
	Send Act = iota
	Cancel
	Shed
	Error
	Wake
	Follow
	Tell // peers that a node went silent or answers
	Log
)

// Decision is one thing for the caller to do, in order.
type Decision struct {
	Act     Act
	Cx      int
	Node    int
	Leg     int
	After   Time // Send: the try's time-out; Shed: when to come back; Wake: from now
	Peer    int  // Tell: its number
	Text    string
	Answers bool // Tell: the node answers again, else it went silent
}
