package duties

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"

	"woodproxy/internal/configfile"

	"github.com/cespare/xxhash/v2"
)

const (
	mostNodes  = 1024 // that turns are taken about; what is listed beyond is every proxy's own affair
	mostRecent = 8    // proxies that have had their turn lately, and whose word alone puts off nobody
	mostJump   = 1 << 20
	recently   = 8 // rests
	longAgo    = 1000 * Second
	lookEvery  = Second / 5 // between two dealings of what the fleet's changes bring
)

// listed is the subject of the watch of discovery.
var listed = xxhash.Sum64String("discovery")

// Instance decides for one proxy.
type Instance struct {
	Terms
	shown   Figures
	now     Time
	crew    *crew
	behind  bool
	nodes   map[string]*node // as many as are listed, mostNodes at most
	order   []*node          // the same by name
	beats   map[string]Time  // until when watchers are believed; emptied as they no longer are
	since   Time             // nobody, or too few, have said so since then, 0: enough do
	live    bool             // this one's watch does
	duty    bool             // told to the caller
	spare   bool             // it is none of the first that watch
	beatAt  Time
	changed bool // fleet or nodes, since duties were last dealt out
	dealtAt Time
	out     []Decision
}

type node struct {
	name   string
	hash   uint64
	passed bool // over, here
	round  int64
	last   Time     // the latest trial that counts, or when it was first passed over
	recent []turn   // who had one lately,
	silent []turn   // others that found it silent lately,
	wrong  []turn   // who said lately that it answers when it did not; all three emptied as time goes by
	found  []string // who says that it answers, since somebody last said that it does not; two at most
	until  Time     // told to the caller
	keeps  bool
}

type turn struct {
	who string
	at  Time
}

// Check tells whether terms can be kept to.
func (t *Terms) Check() error {
	ms := func(t Time) float64 { return float64(t) / 10 }
	if err := configfile.Check(configfile.Range("watchers", float64(t.Watchers), 0, 64), configfile.Range("keepers", float64(t.Keepers), 0, 64), configfile.Range("trial_ms", ms(t.Rest), 50, 60000),
		configfile.Range("turn_ms", ms(t.Step), 20, 10000), configfile.Range("beat_ms", ms(t.Beat), 100, 2000), configfile.Range("patience_ms", ms(t.Patience), 200, 4000)); err != nil {
		return err
	}
	if t.Watchers == 1 { // with its death nobody would be told anything for a while
		return configfile.Check(configfile.Range("watchers", 1, 2, 64))
	}
	if t.Patience < 2*t.Beat {
		return &OrderError{"beat_ms", "patience_ms", ms(t.Beat), ms(t.Patience), 2}
	}
	return nil
}

// New returns an instance that knows nobody and no nodes: until it does, every duty is its own.
func New(now Time, t Terms) *Instance {
	return &Instance{
		Terms: t, now: now, crew: newCrew(nil), nodes: map[string]*node{}, beats: map[string]Time{}, duty: true,
		since: now, beatAt: now - longAgo, dealtAt: now - longAgo, behind: true,
	}
}

func (t *Instance) begin(now Time) { t.now, t.out = max(now, t.now), t.out[:0] }

func (t *Instance) say(d Decision) { t.out = append(t.out, d) }

func (t *Instance) log(format string, args ...any) {
	t.say(Decision{Act: Log, Text: fmt.Sprintf(format, args...)})
}

// Fleet takes who there is, this proxy included, and whether it still catches up with them: then nothing is left to others.
func (t *Instance) Fleet(now Time, all []Proxy, behind bool) []Decision {
	t.begin(now)
	c := newCrew(all)
	t.changed = t.changed || !slices.Equal(c.names, t.crew.names) || !slices.Equal(c.zone, t.crew.zone) || behind != t.behind
	t.crew, t.behind, t.shown.Here = c, behind, len(c.names)
	return t.out
}

// Nodes takes the names of all caches that are listed.
func (t *Instance) Nodes(now Time, names []string) []Decision {
	t.begin(now)
	stays := make(map[string]bool, len(names))
	for _, name := range names {
		stays[name] = true
		if t.nodes[name] == nil && len(t.nodes) < mostNodes {
			t.nodes[name] = &node{name: name, hash: xxhash.Sum64String(name), keeps: true}
			t.changed = true
			if t.Keepers > 0 { // it may have been here before, and another's to keep
				t.say(Decision{Act: Keep, Node: name, On: true})
			}
		}
	}
	for name := range t.nodes {
		if !stays[name] {
			delete(t.nodes, name)
			t.changed = true
		}
	}
	t.order = t.order[:0]
	for _, n := range t.nodes {
		t.order = append(t.order, n)
	}
	slices.SortFunc(t.order, func(a, b *node) int { return strings.Compare(a.name, b.name) })
	return t.out
}

// Passed hears that this proxy passes a node over, or that it answers here.
func (t *Instance) Passed(now Time, name string, on bool) []Decision {
	t.begin(now)
	n := t.nodes[name]
	if n == nil || !t.Trials || n.passed == on {
		return t.out
	}
	if n.passed = on; on {
		if t.now-n.last > recently*t.Rest { // nobody has tried it: this one's own finding is as good as a trial
			n.last, n.found = t.now, n.found[:0]
		}
		t.tell(n, Silent)
	} else if n.last+recently*t.Rest > t.now { // others wait for that word
		t.tell(n, Answers)
	}
	return t.out
}

// Tried hears that a trial of this proxy's has gone out, Failed that it was in vain.
func (t *Instance) Tried(now Time, name string) []Decision {
	t.begin(now)
	if n := t.nodes[name]; n != nil && t.Trials && n.passed {
		t.shown.Trials++
		t.tell(n, Out)
	}
	return t.out
}

// Failed hears that nobody answered a trial.
func (t *Instance) Failed(now Time, name string) []Decision {
	t.begin(now)
	if n := t.nodes[name]; n != nil && t.Trials && n.passed {
		t.tell(n, Silent)
	}
	return t.out
}

// tell says what this proxy's trial came to.
func (t *Instance) tell(n *node, how Outcome) {
	if how == Out {
		n.round++
	}
	t.took(n, t.Me, t.now, how)
	t.say(Decision{Act: Say, Kind: Trial, Key: n.name, Said: Said{Round: n.round, How: how}, Life: recently * t.Rest})
	n.until = 0 // the caller has settled it by itself meanwhile
	t.rest(n)
}

// took notes a trial: the next turn begins with it, unless its proxy had one lately. One that claims every turn and tries
// nothing puts the others off by one rest in eight or so, one that says of a silent node that it answers brings four trials on it.
func (t *Instance) took(n *node, who string, at Time, how Outcome) bool {
	n.recent, n.wrong = t.lately(n.recent), t.lately(n.wrong)
	switch how {
	case Out:
		if had(n.recent, who) {
			return false
		}
		n.recent = append(n.recent, turn{who, at})
		if len(n.recent) > min(max(t.shown.Here/4, 1), mostRecent) {
			n.recent = n.recent[1:]
		}
		n.last = max(n.last, at)
	case Silent:
		if !had(n.recent, who) { // that it went out was not heard
			t.took(n, who, at, Out)
		}
		for _, w := range n.found {
			n.wrong = append(n.wrong, turn{w, t.now})
		}
		n.found = n.found[:0]
	case Answers:
		if !slices.Contains(n.found, who) && len(n.found) < 2 && !had(n.wrong, who) {
			n.found = append(n.found, who)
		}
	}
	return true
}

// doubt has this proxy take a hint about a node that it has not passed over itself: two others at least have to find it silent, and
// one that says so again within eight rests says nothing new.
func (t *Instance) doubt(n *node, who string, at Time, how Outcome) {
	n.silent = t.lately(n.silent)
	switch {
	case how == Answers && len(n.silent) > 0:
		n.silent = n.silent[:0]
		t.say(Decision{Act: Doubt, Node: n.name})
	case how == Silent && !had(n.silent, who) && len(n.silent) < mostRecent:
		if n.silent = append(n.silent, turn{who, at}); len(n.silent) >= 2 && !n.passed {
			t.say(Decision{Act: Doubt, Node: n.name, On: true})
		}
	}
}

func (t *Instance) lately(all []turn) []turn {
	return slices.DeleteFunc(all, func(r turn) bool { return t.now-r.at > recently*t.Rest })
}

func had(all []turn, who string) bool {
	return slices.ContainsFunc(all, func(r turn) bool { return r.who == who })
}

// rest tells the caller when this proxy's next trial of a node may be. The first in the order of this round may once the rest
// is over, twice as many with each step in which nobody was heard to; four times as many where one has found it answering, and
// everybody where two have.
func (t *Instance) rest(n *node) {
	if t.behind || t.shown.Here < 2 { // it goes by its own clock
		return
	}
	rank, until := t.crew.rank(n.hash^mix(uint64(n.round)), t.Me), n.last+t.Rest
	switch {
	case len(n.found) >= 2:
		until = t.now
	case len(n.found) == 1 && rank < 4:
		until = t.now
	default:
		until += Time(bits.Len(uint(rank))+2*yes(had(n.recent, t.Me))) * t.Step // who had one lately comes after most others
	}
	if n.until != until {
		n.until = until
		t.say(Decision{Act: Rest, Node: n.name, Until: until})
	}
}

// Heard takes what another proxy says, and how long ago it said so.
func (t *Instance) Heard(now Time, from string, k Kind, key string, s Said, age Time) []Decision {
	t.begin(now)
	if from == t.Me || age < 0 || !t.crew.in[from] {
		return t.out
	}
	switch k {
	case Trial:
		n := t.nodes[key]
		if n == nil || !t.Trials || s.Round < 0 || s.Round > n.round+mostJump || s.How > Answers || age > recently*t.Rest {
			t.shown.Refused++
			return t.out
		}
		t.shown.Told++
		if s.How == Out && t.now-age < n.last+t.Rest/2 {
			t.shown.Twice++
		}
		n.round = max(n.round, s.Round)
		if t.took(n, from, t.now-age, s.How) && n.passed {
			t.rest(n)
		}
		t.doubt(n, from, t.now-age, s.How)
	case Beat:
		if until := t.now - age + min(max(s.For, t.Patience), t.Patience*3/2); until > t.now {
			t.beats[from] = until
		}
	}
	return t.out
}

// Watching hears that this proxy's watch of discovery lives, or that it has ended or been silent for too long.
func (t *Instance) Watching(now Time, live bool) []Decision {
	t.begin(now)
	t.live, t.shown.Watches = live, live
	return t.out
}

// rule is one line of what is gone through at each tick, until none fires.
type rule struct {
	when func(t *Instance) bool
	do   func(t *Instance)
}

var rules = []rule{
	{func(t *Instance) bool { return t.changed && t.now-t.dealtAt >= lookEvery }, (*Instance).deal},
	{func(t *Instance) bool {
		return t.Watchers > 0 && t.live && t.duty && t.now-t.beatAt >= t.Beat*Time(1+yes(t.spare))
	}, (*Instance).beat},
	{func(t *Instance) bool { return (t.since > 0) != t.short() }, (*Instance).count},
	{func(t *Instance) bool { return t.duty != t.watches() }, (*Instance).watch},
}

// Tick looks what time has brought. It is called some ten times a second.
func (t *Instance) Tick(now Time) []Decision {
	t.begin(now)
again:
	for i := range rules {
		if rules[i].when(t) {
			rules[i].do(t)
			goto again
		}
	}
	return t.out
}

// deal deals out whose idle connections go to which nodes, and turns anew.
func (t *Instance) deal() {
	t.changed, t.dealtAt = false, t.now
	t.spare = t.crew.rank(listed, t.Me) >= t.Watchers
	keeps := map[string]bool{}
	all := t.Keepers == 0 || t.behind || t.shown.Here <= t.Keepers
	if !all {
		subjects := make([]uint64, len(t.order))
		for i, n := range t.order {
			subjects[i] = n.hash
		}
		for i, who := range t.crew.deal(subjects, t.Keepers) {
			if slices.ContainsFunc(who, func(p int32) bool { return t.crew.names[p] == t.Me }) {
				keeps[t.order[i].name] = true
			}
		}
	}
	t.shown.Kept, t.shown.Nodes = 0, len(t.order)
	for _, n := range t.order {
		if on := all || keeps[n.name]; on != n.keeps {
			n.keeps = on
			t.shown.Moved++
			t.say(Decision{Act: Keep, Node: n.name, On: on})
		}
		if n.keeps {
			t.shown.Kept++
		}
		if n.passed {
			t.rest(n)
		}
	}
}

// beat says that this proxy's watch lives.
func (t *Instance) beat() {
	t.beatAt = t.now
	long := t.Patience
	if t.spare { // half as often, and believed for longer: where a whole fleet watches, its words would else be late themselves
		long = t.Patience * 3 / 2
	}
	t.say(Decision{Act: Say, Kind: Beat, Key: t.Me, Said: Said{For: long}, Life: long})
}

// short tells whether of those who come before this proxy in the order fewer than wanted said lately that their watch lives. One
// that lies, or whose watch hangs, takes nothing from anybody, since two at least are wanted.
func (t *Instance) short() bool {
	before := 0
	t.shown.Watchers = yes(t.live && t.duty)
	for name, until := range t.beats {
		if t.now >= until {
			delete(t.beats, name)
			continue
		}
		t.shown.Watchers++
		before += yes(first(listed, name, t.Me))
	}
	return before < t.Watchers
}

func yes(is bool) int {
	if is {
		return 1
	}
	return 0
}

// count notes since when that is so.
func (t *Instance) count() {
	if t.since == 0 {
		t.since = max(t.now, 1)
	} else {
		t.since = 0
	}
}

// watches tells whether this proxy is to watch discovery: so many as wanted, the first in the order, and where some of those do not
// say that they do, twice as many with each step, of whom those stay that are needed. Who catches up, or stands alone, watches in
// any case.
func (t *Instance) watches() bool {
	if t.Watchers == 0 || t.behind || t.shown.Here <= t.Watchers {
		return true
	}
	if t.since == 0 {
		return false
	}
	return t.duty || t.crew.rank(listed, t.Me) < t.Watchers<<min((t.now-t.since)/t.Step, 20)
}

func (t *Instance) watch() {
	t.duty = !t.duty
	t.log("watch of discovery %v: %d here, %d watch", t.duty, t.shown.Here, t.shown.Watchers)
	t.say(Decision{Act: Watch, On: t.duty})
}

// Shown is the figures by now.
func (t *Instance) Shown() Figures {
	f := t.shown
	f.Duty, f.Passed = t.duty, 0
	for _, n := range t.order {
		if n.passed {
			f.Passed++
		}
	}
	return f
}
