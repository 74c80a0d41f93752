// Package duties decides which proxies of a fleet do what need not be done by all, and whose turn it is: trials of nodes that went
// silent, the watch of discovery, connections that are kept idle. What a node or
// discovery gets from all together then does not grow with the fleet. Nobody is elected: who sees the same fleet comes to the same
// result, and views that differ for a while do a thing twice, never not at all. One Instance decides for one proxy. Each method
// reports one thing that happened, with the caller's clock, and returns the decisions that follow, in order, in a slice that the
// next call reuses. Same inputs, same output. No I/O in here.
package duties

import (
	"fmt"

	"woodproxy/internal/configfile"
)

// Time counts tenths of a millisecond on the caller's own clock; spans use it too.
type Time int64

// Second is one in the module's time.
const Second = Time(10000)

// Terms is what an instance is told at its start.
type Terms struct {
	Me       string
	Watchers int  // proxies that watch discovery for all, 0: each watches for itself
	Keepers  int  // proxies that keep idle connections to a node, 0: all do
	Trials   bool // nodes that went silent are tried by turns
	Rest     Time // between two trials of a node, by all together
	Step     Time // twice as many may act when nothing has been heard for so long
	Beat     Time // between two words of a watcher that its watch lives
	Patience Time // it is believed for so long
}

// Proxy is one of the fleet, as replication knows it.
type Proxy struct {
	Name, Zone string
	Here       bool // heard of lately
}

// Kind of what a proxy says to all others. A later one of a kind about the same thing takes the place of its earlier one.
type Kind uint8

const (
	Trial Kind = iota // of a node, by who tried it
	Beat              // by a watcher, that its watch lives
)

// Outcome of a trial.
type Outcome uint8

const (
	Out     Outcome = iota // it is on its way: nobody else need try
	Silent                 // no answer
	Answers                // one came
)

// Said is what goes round.
type Said struct {
	Round int64   `msgpack:"r,omitempty"` // of a trial: turns are dealt out anew each round
	How   Outcome `msgpack:"h,omitempty"`
	For   Time    `msgpack:"f,omitempty"` // a beat is believed for so long, Terms.Patience at least
}

// Act names what a Decision asks the caller to do.
type Act uint8

const (
	Rest  Act = iota // Node: if it is passed over, this proxy tries it no sooner than Until, and then at once
	Watch            // On: watch discovery, or leave that to others
	Doubt            // Node: others find it silent (On), or answering; a hint, as hearsay is
	Keep             // Node, On: keep idle connections there, or close them soon
	Say              // Kind, Key, Said to all proxies; it is worth nothing after Life
	Log              // Text
)

// Decision is one thing for the caller to do, in order.
type Decision struct {
	Act   Act
	Node  string
	Until Time
	On    bool
	Kind  Kind
	Key   string
	Said  Said
	Life  Time
	Text  string
}

// RangeError tells of a figure that is out of its range.
type RangeError = configfile.RangeError

// OrderError tells of two spans of which the second has to be the longer one by a factor.
type OrderError struct {
	Short, Long      string // keys
	Brief, Span, Min float64
}

func (e *OrderError) Error() string {
	return fmt.Sprintf("%s: %v: less than %v times %s, %v; raise it, or lower %s", e.Long, e.Span, e.Min, e.Short, e.Brief, e.Short)
}

// AloneError tells that there is nobody to share duties with.
type AloneError struct{ File string }

func (e *AloneError) Error() string {
	return fmt.Sprintf("%s: proxies do not talk; name a file of peers as well (--peers FILE), or leave the file of turns out", e.File)
}

// Figures are a proxy's, for operators.
type Figures struct {
	Here     int   `json:"here"`     // proxies that duties are dealt out to
	Watchers int   `json:"watchers"` // that said lately that their watch lives
	Duty     bool  `json:"duty"`     // this one is to watch
	Watches  bool  `json:"watches"`
	Kept     int   `json:"kept"`   // nodes to which this one keeps idle connections
	Nodes    int   `json:"nodes"`  // that are listed
	Passed   int   `json:"passed"` // of these, passed over here
	Trials   int64 `json:"trials"` // by this one, since its start,
	Told     int64 `json:"told"`   // by others, that were heard of
	Twice    int64 `json:"twice"`  // of these, such that came while one was out
	Refused  int64 `json:"refused"`
	Moved    int64 `json:"moved"` // nodes whose idle connections became this one's duty, or another's
}
