// Package recovery decides how a proxy comes back: in which stage it is and why, when each stage ends whatever else happens, and what
// of that which was stored before may still be believed. A proxy serves in every stage. One Instance decides for one proxy. Each
// method reports one thing that happened, with the caller's clock, and returns the decisions that follow, in order, in a slice that
// the next call reuses. Same inputs, same output. No I/O in here.
package recovery

import "fmt"

// Time counts tenths of a millisecond on the caller's own clock; spans use it too.
type Time int64

// Second is one in the module's time.
const Second = Time(10000)

// Stage of a proxy that comes back.
type Stage uint8

const (
	Alone    Stage = iota // it has what configuration and disk say
	Catching              // discovery or peers have spoken, and it asks peers for what it missed
	Warming               // it knows what they know, and little of how nodes are
	Full
)

func (s Stage) String() string { return [...]string{"alone", "catching up", "warming", "full"}[s&3] }

// Terms is what an instance is told at its start.
type Terms struct {
	Talks   bool // there are peers to ask
	Alone   Time // the first stage ends so long after the start, whoever is silent,
	Catch   Time // the second so long after it began,
	Warm    Time // and the third
	Enough  int  // answers in time that end it sooner, nine in ten of the latest being so
	Shortly Time // the process stood still if it was not called for so long
}

// Usual terms: the second stage ends no later than replication gives up waiting for help.
func Usual(talks bool) Terms {
	return Terms{Talks: talks, Alone: 2 * Second, Catch: 5 * Second, Warm: 10 * Second, Enough: 20, Shortly: 2 * Second}
}

// Decision is one thing for the caller to do: tell of a change.
type Decision struct{ Text string }

// Figures are for operators.
type Figures struct {
	Stage   string `json:"stage"`
	Why     string `json:"why"`      // it is in this one
	ForMS   int64  `json:"for_ms"`   // so long ago
	FullMS  int64  `json:"full_ms"`  // from the start until it was full, 0: it is not yet
	Stored  string `json:"stored"`   // what became of what was stored
	Drained int    `json:"drained"`  // nodes that are left alone by what was stored, until discovery says otherwise
	Returns int    `json:"returned"` // times that it stood still and came back
}

// Instance decides for one proxy.
type Instance struct {
	Terms
	now     Time
	began   Time
	shown   Figures
	stage   Stage
	since   Time
	tickAt  Time
	listed  bool // discovery or peers have told a list
	behind  bool
	met     bool // a peer is here
	fine    float64
	late    float64
	answers int
	out     []Decision
}

// New returns an instance in its first stage.
func New(now Time, t Terms, stored string, drained int) *Instance {
	return &Instance{Terms: t, now: now, began: now, since: now, tickAt: now, behind: t.Talks, shown: Figures{Why: "started", Stored: stored, Drained: drained}}
}

func (r *Instance) begin(now Time) { r.now, r.out = max(now, r.now), r.out[:0] }

// Listed hears that discovery or a peer has told a list, or a change of it.
func (r *Instance) Listed(now Time) []Decision {
	r.begin(now)
	r.listed = true
	return r.settle()
}

// Peers hears how many others are here, and whether this proxy still catches up with them.
func (r *Instance) Peers(now Time, here int, behind bool) []Decision {
	r.begin(now)
	r.met, r.behind = r.met || here > 0, behind
	return r.settle()
}

// Answered hears whether an exchange was answered in time.
func (r *Instance) Answered(inTime bool) {
	if r.stage == Full {
		return
	}
	r.answers++
	r.fine, r.late = r.fine*0.95, r.late*0.95
	if inTime {
		r.fine++
	} else {
		r.late++
	}
}

// rule is one line of what is gone through after each call, until none fires. Each stage but the last has a rule that ends it by time.
type rule struct {
	in   Stage
	when func(r *Instance) bool
	to   Stage
	why  string
}

var rules = []rule{
	{Alone, func(r *Instance) bool { return r.listed && (!r.Talks || !r.behind) }, Warming, "the list is told"},
	{Alone, func(r *Instance) bool { return r.Talks && (r.listed || r.met) }, Catching, "others are heard"},
	{Alone, func(r *Instance) bool { return r.now-r.since >= r.Alone && r.Talks && r.behind }, Catching, "nobody is heard yet"},
	{Alone, func(r *Instance) bool { return r.now-r.since >= r.Alone }, Warming, "nobody is heard; it goes on with what it has"},
	{Catching, func(r *Instance) bool { return !r.behind }, Warming, "caught up"},
	{Catching, func(r *Instance) bool { return r.now-r.since >= r.Catch }, Warming, "as far as it goes in its time"},
	{Warming, func(r *Instance) bool { return r.answers >= r.Enough && r.fine >= 9*r.late }, Full, "answers come in time"},
	{Warming, func(r *Instance) bool { return r.now-r.since >= r.Warm }, Full, "its time is over"},
}

func (r *Instance) settle() []Decision {
again:
	for i := range rules {
		if l := &rules[i]; l.in == r.stage && l.when(r) {
			r.enter(l.to, l.why)
			goto again
		}
	}
	return r.out
}

func (r *Instance) enter(to Stage, why string) {
	r.out = append(r.out, Decision{fmt.Sprintf("%v after %.1f s %v: %s", to, float64(r.now-r.since)/float64(Second), r.stage, why)})
	r.stage, r.since, r.shown.Why = to, r.now, why
	switch to {
	case Warming:
		r.answers, r.fine, r.late = 0, 0, 0
	case Full:
		if r.shown.FullMS == 0 {
			r.shown.FullMS = max(int64(r.now-r.began)/10, 1)
		}
	}
}

// Tick looks what time has brought. It is called some ten times a second.
func (r *Instance) Tick(now Time) []Decision {
	r.begin(now)
	if r.now-r.tickAt > r.Shortly {
		r.shown.Returns++
		r.listed, r.behind = false, r.Talks
		r.enter(Alone, fmt.Sprintf("stood still for %.1f s", float64(r.now-r.tickAt)/float64(Second)))
	}
	r.tickAt = r.now
	return r.settle()
}

// Stage is the one in which this proxy is.
func (r *Instance) Stage() Stage { return r.stage }

// Shown is how it stands.
func (r *Instance) Shown(now Time) Figures {
	f := r.shown
	f.Stage, f.ForMS = r.stage.String(), int64(now-r.since)/10
	return f
}
