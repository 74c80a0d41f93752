package balancer

// Instance decides for one proxy.
type Instance struct {
	routes     []route
	share      float64 // 1/proxies
	aside      bool
	mayCancel  bool
	parallel   bool // two tries of an exchange may be out at once
	maxTries   int
	comeBack   Time // longest advice to clients, 0: none
	tick       Time
	hush       Time // silence that tells a node is sick
	originAim  Time // the origin's answers should take no longer
	cold       Time
	coldFrom   float64
	pushed     float64 // multiple of its capacity that fells a cold node
	pushedFor  Time
	beyondPart float64
	allowance  []float64 // by tenant, a second, this proxy's share
	spent      []float64 // by tenant, decays with time
	spentAt    []Time
	me         int // its number among them
	peers      int // proxies that may be told something
	ask        bool
	askEvery   Time
	rough      bool
	crowd      float64 // part of the time there is that a crowded owner's answers take
	chance     uint64

	now      Time
	xs       []exchange
	nodes    []node
	ring     []point
	caches   int     // on the ring
	open     float64 // of these, but for the parts that keys pass by
	origins  []int
	flying   int // own tries in flight to caches on the ring
	weightOf float64
	walk     int
	due      dues
	todo     []int // exchanges to look at, emptied by each call
	hand     *exchange
	at       int // index of hand
	pick     int // node chosen for it, -1: none
	queue    [2][]int
	queued   int
	fetches  map[uint64]int   // by key: the exchange whose fetch is out; emptied as fetches end
	waiters  map[uint64][]int // by key: those that wait for it; emptied with the fetch
	limit    float64          // own tries in flight at the origin; under one, they come with pauses
	least    float64          // the limit's floor
	held     float64          // the limit when the origin last answered
	originAt Time             // no try there before
	atOrigin int
	lean     float64 // half of what the limit begins at
	tight    bool    // the origin's limit is all but down, for the log
	fetch    float64 // mean time of its answers
	fetchAt  Time    // when the last of them came
	cutAt    Time
	room     float64 // own tries in flight that the caches answer in time
	spare    float64 // repeats after failures that may be sent
	full     bool    // whether work is turned away, for the log
	lates    float64 // share of the caches' answers that are late, lately, and when the last came
	latesAt  Time
	faults   float64 // share of the caches' answers that are failures, lately
	lastCome Time    // last answer of any cache
	took     float64 // mean time of the caches' answers, and how far they stray from it
	strays   float64
	timed    float64 // answers that these are of, 32 at most
	answered float64 // the caches' answers, those of long ago faded
	rateAt   Time
	began    Time
	wakeAt   Time
	askAt    Time
	out      []Decision
}

// route holds the figures that decisions use of one class.
type route struct {
	Route
	patience Time    // how long an answer is worth waiting for
	aim      Time    // how long it is worth its whole value
	worth    float64 // value as a share of the dearest route's
	usual    Time    // what clients give a first try, by majority
	votes    int     // for usual, 1000 at most
}

// node is what this proxy knows of one server. Nodes are as many as were listed at a time, or had not long gone.
type node struct {
	Listing
	out      int     // own tries in flight
	quiet    Time    // no answer since then, with tries out
	down     bool    // passed over until an answer comes
	part     float64 // of the keys that pass it by, since its zone is left
	off      bool    // for its silence: what is out there is called off
	retryAt  Time    // when a node that is down may have one try
	rest     Time    // how long it is left alone after the next failure
	answers  int     // since it was cold
	budget   float64
	budgetAt Time
	slow     float64 // what its latest answers took
	slowAt   Time
	metAt    Time    // its latest answer
	spread   Time    // when peers last heard or told of it
	doubt    float64 // how far it is believed silent on hearsay, and since when
	doubtAt  Time
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
	cut       bool // its last try's connection broke
	off       bool // its last try was called off, as its zone is left
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
	aim       Time // one after this is worth less
	due       Time // next look
	place     int  // in the heap, -1: none
	legs      int  // tries sent
	out       int  // tries in flight
	node      int  // of the last try that is out, or was,
	leg       int  // its number,
	twin      int  // and the node of the one before it
	sent      Time
	beyond    bool
	tried     []int
}
