package replica

import (
	"bytes"
	"cmp"
)

// Time counts tenths of a millisecond on the caller's own clock, which others' clocks have nothing to do with; spans use
// it too.
type Time int64

// Second is one in the module's time.
const Second = Time(10000)

// Kind tells what a row is about. Rows of a kind that this version does not know are carried on unread.
type Kind uint8

const (
	Pulse  Kind = 1  // of a proxy, by itself: it is up, where it is met, what it asks for, how it sees the others
	Sight  Kind = 2  // of a node, by a proxy: it went silent there (Rank 1) or answers again (Rank 0)
	Node   Kind = 3  // of a node, by no one proxy: discovery's line of it. Epoch is discovery's index, Rank strictness
	Gone   Kind = 4  // of a proxy, by no one: its incarnation (Epoch) has ended, as a refused connection or itself told
	Voice  Kind = 5  // of a zone, by a proxy: what its tries there came to, and the verdict that it acts on
	Order  Kind = 6  // of a zone, by no one: what operators order. Epoch counts orders, Rank is how strict it is
	Trial  Kind = 7  // of a node, by a proxy: it tried it, which none had let through for a while, and what came of that
	Beat   Kind = 8  // of a proxy, by itself: its watch of discovery lives
	Wrote  Kind = 9  // of a slot, by a proxy: keys that it wrote
	Absent Kind = 10 // of a slot, by a proxy: keys that the origin lacks
)

// Strictness of a Node row.
const (
	Active  = 0
	Leaving = 1
	Left    = 2
)

// Row is one piece of state. Key, kind and writer say which one it is; epoch, rank, count and body which copy.
type Row struct {
	Kind   Kind   `msgpack:"k"`
	Key    string `msgpack:"n"`           // node or proxy that it is about
	Writer string `msgpack:"w,omitempty"` // who alone may write it; "": whoever is told
	Epoch  int64  `msgpack:"e"`           // of a writer's own row: the writer's incarnation
	Rank   uint8  `msgpack:"r,omitempty"`
	Count  int64  `msgpack:"c,omitempty"` // of a writer's own row: how many it wrote
	Age    Time   `msgpack:"a,omitempty"` // since it was written, by the clocks of all who held it
	Life   Time   `msgpack:"l,omitempty"` // it lapses at that age; 0: it does not
	Body   []byte `msgpack:"b,omitempty"`
}

// compare orders copies of one row. It looks at no clock, and no two copies that differ are equal, so that all who have
// had the same copies, in whatever order, hold the same one.
func (r *Row) compare(o *Row) int {
	return cmp.Or(cmp.Compare(r.Epoch, o.Epoch), cmp.Compare(r.Rank, o.Rank), cmp.Compare(r.Count, o.Count),
		bytes.Compare(r.Body, o.Body))
}

// Bounds of a row, in bytes; a larger one is refused.
const (
	MostName = 128
	MostBody = 1024
)

// mostEpoch leaves room to count on from whatever comes.
const mostEpoch = 1 << 60

// fits tells whether a row may be held at all.
func (r *Row) fits() bool {
	return r.Kind > 0 && len(r.Key) > 0 && len(r.Key) <= MostName && len(r.Writer) <= MostName && len(r.Body) <= MostBody &&
		r.Epoch < mostEpoch && r.Age >= 0 && r.Life >= 0 && (r.Life == 0 || r.Age < r.Life)
}

// Head tells which copy of a row somebody holds, by hashes.
type Head struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID, Copy uint64
}

// Buckets is into how many parts rows are dealt for digests.
const Buckets = 64

// Sums is a digest: for each bucket, its rows' hashes together.
type Sums [Buckets]uint64

// Pulsed is what the body of a Pulse row says.
type Pulsed struct {
	Address string  `msgpack:"a"` // where its peers meet it
	Zone    string  `msgpack:"z,omitempty"`
	Demand  float64 `msgpack:"d"` // exchanges a second that its clients ask for
	View    uint64  `msgpack:"v"` // hash of whom it knows, as which incarnation, and who is gone
	Behind  bool    `msgpack:"b"` // it is catching up
	Base    float64 `msgpack:"s"` // its share before what is lent
	Loans   []Loan  `msgpack:"l,omitempty"`
	Wrote   int64   `msgpack:"o,omitempty"` // words on its writes that it has sent out
	Heir    bool    `msgpack:"h,omitempty"` // this process ends, and the one that replaces it carries on its name
}

// Loan is a part of the writer's share that another may use for LoanSpan from when that one wrote a pulse, which is named by
// its count: both count from a moment on their own clocks, and the borrower's comes first.
type Loan struct {
	To    string  `msgpack:"t"`
	Part  float64 `msgpack:"p"`
	Count int64   `msgpack:"c"`
}

// Terms is what an instance is told at its start.
type Terms struct {
	Me          string
	Incarnation int64
	Proxies     int     // that share the nodes, by the operators' word, this one included
	Address     string  // where peers meet this one
	Zone        string  // in which it stands, "": not known
	Hold        Time    // a share of one that is gone is taken over after so long
	Floor       float64 // part of an even share that nobody takes over, so that who comes back unseen may use it
	SightLife   Time    // what is heard of a silent node is worth nothing after that
}

// Act names what a Decision asks the caller to do.
type Act uint8

const (
	Spread   Act = iota // Rows, one, to some peers at a time until all have it
	Digest              // to To: Sums
	Heads               // to To: Heads, of the buckets in Which
	Rows                // to To: Rows
	Want                // to To: IDs
	Busy                // to To: ask another
	Same                // to To: nothing differs
	Probe               // whether something listens at Address, for To's incarnation Epoch; Refused tells if nothing does
	Changed             // a row that another wrote now says something else here: Rows, one
	SetShare            // Share, of what all proxies may do together
	Log                 // Text
)

// Decision is one thing for the caller to do, in order.
type Decision struct {
	Act     Act
	To      string
	Address string
	Epoch   int64
	Rows    []Row
	Heads   []Head
	IDs     []uint64
	Which   uint64 // a bit for each bucket
	Sums    Sums
	Share   float64
	Text    string
}

// Held is what is shown of the rows of one kind.
type Held struct {
	Rows int
	Sum  uint64
}

// Member is what is shown of a proxy.
type Member struct {
	Name        string
	Incarnation int64
	State       string // "here", "silent", "gone", "unknown"
	Lag         Time   // since its latest pulse was written
	Pulsed
}
