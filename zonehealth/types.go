package zonehealth

// Time counts tenths of a millisecond on the caller's own clock; spans use it too.
type Time int64

// Second is one in the module's time.
const Second = Time(10000)

// Region is several zones that may be lost together.
type Region struct {
	Name  string
	Zones []string
}

// Terms is what an instance is told at its start.
type Terms struct {
	Me, Zone string // this proxy, and the zone that it stands in, "": not known
	Regions  []Region
	Shortest Time    // the shortest latency objective
	Quiet    Time    // no answer from a zone for so long, while tries there went unanswered, is a voice against it
	Voices   float64 // part of the proxies here outside a zone that must speak against it; two at least
	Settle   Time    // for so long they must, so that those who get answers are heard as well
	Hold     Time    // a zone that is out is left alone for so long at first
	MostHold Time    // and so long at most, where it flaps
	Step     Time    // between two steps of its return
	Cold     Time    // a node that starts is cold for so long
	ColdFrom float64 // and bears this part of its work at first
	Apart    bool    // nobody is heard
	Alone    bool    // without peers, or cut off from most, judge on own evidence
}

// Node is a cache as it is listed.
type Node struct {
	Index int
	Name  string
	Zone  string
	Since Time // when it last started, 0: long ago
}

// Proxy is one of the fleet, as replication knows it.
type Proxy struct {
	Name, Zone string
	Here       bool // heard of lately
	Gone       bool // its process is known to have ended
}

// Ending is how a try came out, as far as it tells of a zone.
type Ending uint8

const (
	Answered Ending = iota // in time
	Late                   // too late, or a failure: somebody is there all the same
	Nothing                // silence, or a connection that broke
	Undone                 // called off, which tells something if it was overdue
	Unknown                // never sent
	Shut                   // no connection came up, or it was refused
)

// Word is what a proxy says of a zone by its own tries.
type Word uint8

const (
	None    Word = iota // no try lately
	For                 // it answers
	Against             // tries go unanswered, and nothing has come for Terms.Quiet
)

// State of a zone, the stricter one later.
type State uint8

const (
	In        State = iota
	Returning       // Open of its keys are served there
	Leaving         // in part: the nodes in Kept stay, as the others have no room
	Out
)

func (s State) String() string { return [...]string{"in", "returning", "leaving", "out"}[s&3] }

// Stand is a verdict on a zone. Of two the one with the later epoch stands, then the stricter one.
type Stand struct {
	Epoch int64    `msgpack:"e"`
	State State    `msgpack:"s"`
	Step  int      `msgpack:"n,omitempty"` // of its return
	Flaps int      `msgpack:"f,omitempty"` // how often it went out again before it was in for long
	Kept  []uint32 `msgpack:"k,omitempty"` // hashes of the names of nodes that stay, while it is left in part
}

// Voice is what one proxy says of one zone; it goes round while there is something to say.
type Voice struct {
	Zone   string   `msgpack:"z"` // the speaker's own
	Word   Word     `msgpack:"w"`
	Ago    Time     `msgpack:"d"`           // since the last answer
	Run    int      `msgpack:"r,omitempty"` // tries that went unanswered since then
	Ill    []uint32 `msgpack:"i,omitempty"` // hashes of names of nodes that they went to
	Well   []uint32 `msgpack:"a,omitempty"` // of nodes that answered lately
	Fine   float32  `msgpack:"o"`           // tries of the last second or so, that were answered in time,
	Late   float32  `msgpack:"l"`           // that were late or failed,
	Lost   float32  `msgpack:"b"`           // and that went unanswered
	Origin float32  `msgpack:"g"`           // of its fetches from the origin, the part that is late
	Flying float32  `msgpack:"y"`           // its tries in flight at caches,
	Room   float32  `msgpack:"c"`           // and how many they answer in time
	Stand  Stand    `msgpack:"t"`           // on which the speaker acts,
	Plan   *Stand   `msgpack:"p,omitempty"` // and on which it would, if another would too
}

// Want is what operators order of a zone, the stricter one later.
type Want uint8

const (
	Auto Want = iota // what the evidence says
	KeepIn
	Held // as it is now
	KeepOut
)

// Wants by name.
var Wants = map[string]Want{"auto": Auto, "in": KeepIn, "hold": Held, "out": KeepOut}

func (w Want) String() string { return [...]string{"auto", "in", "hold", "out"}[w&3] }

// Order is an operator's; of two the later epoch stands, then the stricter.
type Order struct {
	Zone  string
	Want  Want
	Epoch int64  // one more than the order that it replaces
	By    string // the proxy that took it
	Force bool   // also if it leaves no zone
}

// Act names what a Decision asks the caller to do.
type Act uint8

const (
	Bar   Act = iota // Node: Part of its keys pass it by from now on; with Off what is out there is called off
	Speak            // Voice, of Zone, to peers; it is worth nothing after Life
	Log              // Text
	Knock            // Node: see whether a new connection there comes up, and tell by Reached or Refused
)

// Decision is one thing for the caller to do, in order.
type Decision struct {
	Act   Act
	Node  int
	Part  float64
	Off   bool
	Zone  string
	Voice Voice
	Life  Time
	Text  string
}

// Alone counts what one proxy judged by its own tries alone.
type Alone struct {
	Passed int // zones that it passed by
	Hasty  int // of these, those that answered its first trials: gone for less than Terms.Hold, or never
}

// Shown is how a zone stands, for operators.
type Shown struct {
	Name         string
	Nodes        int
	Open         float64 // part of its keys that are served there
	Stand        Stand
	Alone        bool  // judged by this proxy alone
	Own          bool  // left by others; this proxy stands in it and gets answers
	Order        Order // of epoch 0: there was none
	Against, For int
	AgainstZones int
	By           []string // who speaks against it
	Watched      bool
	Held         Time // how long it has stood so
	// proxies that tried it under this stand; had answers in time, had tries unanswered, had answers too late
	Tried, Fine, Lost, Late int
}
