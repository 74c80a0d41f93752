package brain

// route holds the figures that decisions use of one class.
type route struct {
	Route
	patience Time    // how long an answer is worth waiting for
	worth    float64 // value as a share of the dearest route's
	usual    Time    // what clients give a first try, by majority
	votes    int     // for usual, 1000 at most
}

// node is what this proxy knows of one server. Nodes are as many as the list has ever named.
type node struct {
	Listing
	out      int  // own tries in flight
	quiet    Time // no answer since then, with tries out
	down     bool // passed over until an answer comes
	retryAt  Time // when a node that is down may have one try
	rest     Time // how long it is left alone after the next failure
	answers  int  // since it was cold
	budget   float64
	budgetAt Time
	slow     float64 // what its latest answers took
	slowAt   Time
	refused  float64 // share of own tries that it turned away as full, lately
	triedAt  Time    // end of the last
	faults   float64 // share of its answers that are failures, lately
	spots    int     // points on the ring
	moved    bool    // by the latest list, on to the ring or off it
	seen     int     // stamp of the last walk that met it
}

// exchange is one client request while an answer is owed or tries are out. Slots are reused.
type exchange struct {
	Exchange
	live      bool // an answer is owed
	streaming bool
	fresh     bool // no lots drawn yet
	turned    bool // turned away by them
	bounced   bool // by a cache that had no room
	missed    bool // a cache lacked the key
	joined    bool // has waited for another's fetch
	leads     bool // its fetch is the one that others wait for
	queued    bool // waits for room at the origin
	waits     bool // waits for another's fetch
	ran       bool // some try may have run
	ranAt     Time // when the first such was sent
	ranNode   int
	deadline  Time // the final answer's last moment
	good      Time // an answer after this is worth nothing
	due       Time // next look
	place     int  // in the heap, -1: none
	legs      int  // tries sent
	out       int  // tries in flight
	node      int  // of the last try
	sent      Time
	beyond    bool
	tried     []int
	next      int // of those that wait for the same fetch
}
