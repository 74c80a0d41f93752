// Package zones decides when a whole zone is left by all proxies of a fleet, and how it returns. Each proxy's tries give it
// a word on each zone, for or against; words go round among proxies, and enough of them, from proxies that are most of
// those outside the zone, make a verdict with an epoch. One Instance decides for one proxy; without peers it judges by its
// own tries, more slowly. Each method reports one thing that happened, with the caller's clock, and returns the decisions
// that follow, in order, in a slice that the next call reuses. Same inputs, same output. No I/O in here.
package zones

import (
	"cmp"
	"fmt"
	"iter"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	mostZones = 64 // what is listed beyond is judged node by node, as ever
	mostNamed = 6  // nodes in a voice
	mostShut  = 2  // different nodes with which no connection comes up, for a proxy that judges alone
	mostKept  = 16 // nodes that stay when a zone is left in part
	mostCover = 8  // different nodes that must be silent, where a zone has twice as many or more
	longAgo   = 1000 * Second
	lately    = 3 * Second / 2 // what a word is about
	fresh     = 5 * Second / 2 // a word counts so long
	stood     = Second / 4     // between ticks: the process stood still, and what looks overdue may not be
	flapsFor  = 60 * Second    // a zone that was in for so long has its flaps forgotten
	keepsOn   = 10 * Second    // a verdict that has become in is told for so long
	mostFlaps = 16             // are counted
	mostNeed  = 16             // however large the fleet, so many are enough
	plenty    = 3              // words against for each that is for a zone
	travel    = Second / 2     // that a word takes to get round at most
	some      = 0.4            // of a try, by now, in what a proxy counts
)

// steps are the parts of its keys that a zone has back, one after the other: first a few trials for the whole fleet together.
var steps = [...]float64{1.0 / 64, 1.0 / 16, 1.0 / 4, 1.0 / 2}

// Instance decides for one proxy.
type Instance struct {
	Terms
	now    Time
	tickAt Time
	nodes  []*node           // by the caller's index, nil: none that is listed
	zones  []*zone           // by name; those that lose their last node stay as long as they are not in
	fleet  []Proxy           // as many as replication knows
	here   map[string]string // proxies that are here, with their zones
	behind bool
	took   float64 // mean time of the caches' answers, and how far they stray from it
	strays float64
	origin rates
	flying float64
	room   float64
	judged Alone
	acts   []*Stand // of the zone in hand
	plans  []*Stand
	out    []Decision
}

type node struct {
	Node
	zone  *zone
	hash  uint32
	open  int  // tries out
	waits Time // since when the oldest of them has no answer, 0: none is out
	ill   bool // that has been counted
	well  Time // the latest answer
	part  float64
	off   bool // both as last told to the caller
}

// rates count what came of late; half is gone in two seconds.
type rates struct {
	fine, late, lost float64
	at               Time
}

func (r *rates) fade(now Time) {
	by := math.Exp2(-float64(now-r.at) / float64(2*Second))
	r.fine, r.late, r.lost, r.at = r.fine*by, r.late*by, r.lost*by, now
}

type zone struct {
	name    string
	region  *Region
	nodes   int
	good    Time // the latest answer to this proxy
	inTime  Time // the latest that came in time
	bad     Time // the latest try that went unanswered
	first   Time // the first of these since that answer
	run     int  // how many
	ill     []uint32
	shut    []uint32 // nodes with which no connection came up, since one did or an answer came
	rates   rates
	voices  []*heard // by proxy; emptied as they lapse
	outside survey
	abroad  survey // of those outside its region
	stand   Stand
	since   Time
	lastOut Time
	alone   Stand // by own evidence
	aloneAt Time
	knocked Time  // at its nodes, last
	proven  bool  // trials have found it gone still, since this proxy passed it by alone
	order   Order // of epoch 0: there was none
	suspect Time  // since when enough speak against it, 0: they do not
	witness Time  // since when another zone is known to have answered after that, 0: none has
	doubt   Time  // since when its trials fail, 0: they do not
	plan    *Stand
	own     Voice // as the tally counts it
	said    Voice
	saidAt  Time
	watched bool
	tally   tally
	told    float64 // the open part that the log last told of
}

// survey counts the proxies outside a zone: those that are here, in how many zones they stand, and those that have not ended.
type survey struct{ here, from, known int }

type heard struct {
	Voice
	name string
	at   Time
	life Time
}

// far is the latest stand that a speaker acts on or plans.
func (h *heard) far() *Stand {
	if h.Plan != nil && h.Plan.compare(&h.Stand) > 0 {
		return h.Plan
	}
	return &h.Stand
}

// tally is what the voices on a zone come to. Proxies are counted, not what they say they saw, so that one that says too much
// weighs no more than one.
type tally struct {
	against, fors int
	inTime        Time     // the latest answer that any had in time
	by            []string // who speaks against it
	from          []string // the zones that these stand in
	ill, well     []uint32
	// of those that act on the same stand: who has tried, had answers in time, had a quarter or more unanswered, too late, and
	// from the origin too late
	tried, fine, losers, slow, origin int
}

// New returns an instance that knows no nodes.
func New(now Time, t Terms) *Instance {
	return &Instance{Terms: t, now: now, tickAt: now, here: map[string]string{}, took: float64(t.Shortest) / 8,
		strays: float64(t.Shortest) / 16}
}

// Hash is how a node is named in what goes round.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

func (z *Instance) begin(now Time) { z.now, z.out = max(now, z.now), z.out[:0] }

func (z *Instance) say(d Decision) { z.out = append(z.out, d) }

func (z *Instance) log(format string, args ...any) {
	z.say(Decision{Act: Log, Text: fmt.Sprintf(format, args...)})
}

func (z *Instance) find(name string) *zone {
	i, ok := slices.BinarySearchFunc(z.zones, name, func(o *zone, name string) int { return cmp.Compare(o.name, name) })
	if ok {
		return z.zones[i]
	}
	if name == "" || len(z.zones) >= mostZones {
		return nil
	}
	o := &zone{name: name, good: z.now - longAgo, inTime: z.now - longAgo, bad: z.now - longAgo, lastOut: z.now - longAgo, knocked: z.now - longAgo, saidAt: z.now - longAgo, since: z.now,
		told: 1}
	for r := range z.Regions {
		if slices.Contains(z.Regions[r].Zones, name) {
			o.region = &z.Regions[r]
		}
	}
	z.zones = slices.Insert(z.zones, i, o)
	z.survey(o)
	return o
}

// Nodes takes all caches that are on the ring.
func (z *Instance) Nodes(now Time, all []Node) []Decision {
	z.begin(now)
	for _, o := range z.zones {
		o.nodes = 0
	}
	listed := make(map[int]bool, len(all))
	for _, l := range all {
		listed[l.Index] = true
		for len(z.nodes) <= l.Index {
			z.nodes = append(z.nodes, nil)
		}
		n := z.nodes[l.Index]
		if n == nil || n.Name != l.Name {
			n = &node{hash: Hash(l.Name), well: z.now - longAgo}
			z.nodes[l.Index] = n
		}
		n.Node, n.zone = l, z.find(l.Zone)
		if n.zone != nil {
			n.zone.nodes++
		}
	}
	for k := range z.nodes {
		if !listed[k] {
			z.nodes[k] = nil
		}
	}
	z.zones = slices.DeleteFunc(z.zones, func(o *zone) bool {
		return o.nodes == 0 && o.stand.State == In && o.order.Epoch == 0 && len(o.voices) == 0
	})
	z.apply()
	return z.out
}

// Missing names the first zone of a region that no node has, "": none.
func (z *Instance) Missing() string {
	for _, r := range z.Regions {
		for _, name := range r.Zones {
			if !slices.ContainsFunc(z.zones, func(o *zone) bool { return o.name == name && o.nodes > 0 }) {
				return name
			}
		}
	}
	return ""
}

func (z *Instance) node(at int) *node {
	if at < 0 || at >= len(z.nodes) {
		return nil
	}
	return z.nodes[at]
}

// Sent notes that a try has gone to a cache.
func (z *Instance) Sent(now Time, at int) {
	if n := z.node(at); n != nil {
		if n.open++; n.open == 1 {
			n.waits, n.ill = now, false
		}
	}
}

// Ended notes how a try came out that had gone to a cache. Nothing follows before the next tick.
func (z *Instance) Ended(now Time, at int, how Ending, took Time) {
	n := z.node(at)
	if n == nil {
		return
	}
	n.open = max(n.open-1, 0)
	o := n.zone
	if o == nil {
		return
	}
	o.rates.fade(now)
	switch how {
	case Answered, Late:
		if how == Answered {
			o.rates.fine++
			o.inTime = now
			off := float64(took) - z.took
			z.took += off / 32
			z.strays += (math.Abs(off) - z.strays) / 32
		} else {
			o.rates.late++
		}
		n.waits, n.ill, n.well, o.good, o.run, o.ill, o.shut = now, false, now, now, 0, o.ill[:0], o.shut[:0]
	case Undone, Nothing, Shut:
		if how == Shut {
			z.Refused(at)
		}
		if how == Undone && !n.ill && took < z.overdue() {
			break // its client had gone, or it had no time left: that tells nothing
		}
		if o.rates.lost++; !n.ill {
			z.unanswered(n, now)
		}
	}
	if n.open == 0 {
		n.waits, n.ill = 0, false
	}
}

// Reached notes that a new connection to a cache came up. Somebody is there, however long answers take.
func (z *Instance) Reached(at int) {
	if n := z.node(at); n != nil && n.zone != nil {
		n.zone.shut = n.zone.shut[:0]
	}
}

// Refused notes that none came up at a cache.
func (z *Instance) Refused(at int) {
	if n := z.node(at); n != nil && n.zone != nil && len(n.zone.shut) < mostShut && !slices.Contains(n.zone.shut, n.hash) {
		n.zone.shut = append(n.zone.shut, n.hash)
	}
}

// overdue is the time after which a try looks unanswered: what answers take and four times how far they stray.
func (z *Instance) overdue() Time {
	return min(max(Time(z.took+4*z.strays)+Second/100, z.Shortest/8), z.Shortest)
}

// unanswered counts a try that nobody answers.
func (z *Instance) unanswered(n *node, now Time) {
	o := n.zone
	if o.run == 0 {
		o.first = now
	}
	o.run, o.bad = o.run+1, now
	if !slices.Contains(o.ill, n.hash) && len(o.ill) < mostCover {
		o.ill = append(o.ill, n.hash)
	}
}

// Origin notes whether a fetch from the origin came in time.
func (z *Instance) Origin(now Time, late bool) {
	z.origin.fade(now)
	if late {
		z.origin.late++
	} else {
		z.origin.fine++
	}
}

// Load takes how many tries this proxy has in flight at caches, and how many they answer in time.
func (z *Instance) Load(flying, room float64) { z.flying, z.room = flying, room }

// Fleet takes who there is, this proxy included, and whether it still catches up with them.
func (z *Instance) Fleet(now Time, all []Proxy, behind bool) {
	z.begin(now)
	if z.Apart {
		return
	}
	z.fleet, z.behind = all, behind
	clear(z.here)
	for _, p := range all {
		if p.Here {
			z.here[p.Name] = p.Zone
		}
	}
	for _, o := range z.zones {
		z.survey(o)
	}
}

// Voice takes what another proxy says of a zone, and how long ago it said so.
func (z *Instance) Voice(now Time, from, of string, v Voice, age, life Time) []Decision {
	z.begin(now)
	o := z.find(of)
	if o == nil || from == z.Me || age > life || len(v.Ill) > mostCover || len(v.Well) > mostCover || v.Word > Against || v.Ago < 0 ||
		!v.Stand.sound() || v.Plan != nil && !v.Plan.sound() {
		return z.out
	}
	i, ok := slices.BinarySearchFunc(o.voices, from, func(h *heard, name string) int { return cmp.Compare(h.name, name) })
	if !ok {
		o.voices = slices.Insert(o.voices, i, nil)
	}
	o.voices[i] = &heard{v, strings.Clone(from), z.now - age, life}
	if o.voices[i].far().compare(&o.stand) > 0 {
		z.judge(o)
		z.apply()
	}
	return z.out
}

func (s *Stand) sound() bool {
	return len(s.Kept) <= mostKept && s.State <= Out && s.Step >= 0 && s.Step < len(steps) && s.Epoch >= 0 && s.Epoch < 1<<50 && s.Flaps >= 0 &&
		s.Flaps <= 64
}

// compare orders stands: the later epoch first, then the stricter, and so that no two that differ are equal.
func (s *Stand) compare(o *Stand) int {
	if o == nil {
		return 1
	}
	return cmp.Or(s.order(o), cmp.Compare(s.Flaps, o.Flaps), -slices.Compare(s.Kept, o.Kept))
}

func (s *Stand) order(o *Stand) int {
	return cmp.Or(cmp.Compare(s.Epoch, o.Epoch), cmp.Compare(s.State, o.State), -cmp.Compare(s.Step, o.Step))
}

// Tick looks what time has brought. It is called some ten times a second.
func (z *Instance) Tick(now Time) []Decision {
	z.begin(now)
	gap := z.now - z.tickAt
	z.tickAt = z.now
	overdue := z.overdue()
	for _, n := range z.nodes {
		if n != nil && gap > stood && n.waits > 0 {
			n.waits += gap // answers may lie unread
		}
	}
	if gap > Second { // what was seen before is of then
		for _, o := range z.zones {
			o.run, o.ill, o.shut, o.suspect, o.witness = 0, o.ill[:0], o.shut[:0], 0, 0
		}
	}
	for _, n := range z.nodes {
		if n != nil && n.zone != nil && n.open > 0 && n.waits > 0 && !n.ill && z.now-n.waits >= overdue {
			n.ill = true
			z.unanswered(n, z.now)
		}
	}
	for _, o := range z.zones {
		z.judge(o)
	}
	z.apply()
	for _, o := range z.zones {
		if z.wonders(o) {
			z.knock(o)
		}
		z.speak(o)
	}
	return z.out
}

// wonders: tries go unanswered in a zone and nothing has come, yet it is not known whether its nodes are there: open connections
// tell of no loss, and in a burst no answer comes in time.
func (z *Instance) wonders(o *zone) bool {
	return z.Alone && o.alone.State == In && o.stand.State == In && o.run >= 2 && len(o.shut) < min(o.nodes, mostShut) && z.now-o.good >= z.Quiet &&
		z.now-o.bad < lately && z.now-o.knocked >= 2*z.Quiet
}

// knock has connections made to two of the nodes that answered nothing.
func (z *Instance) knock(o *zone) {
	o.knocked = z.now
	left := mostShut - len(o.shut)
	for k, n := range z.nodes {
		if left > 0 && n != nil && n.zone == o && slices.Contains(o.ill, n.hash) && !slices.Contains(o.shut, n.hash) {
			left--
			z.say(Decision{Act: Knock, Node: k})
		}
	}
}

// word is what this proxy has to say of a zone.
func (z *Instance) word(o *zone) Word {
	switch {
	case z.now-o.good < z.Quiet || o.run == 0 && z.now-o.good < z.Quiet*3/2:
		return For
	case o.run >= 1 && z.now-o.bad < Second:
		return Against
	}
	return None
}

// count makes up the tally. Who stands in a zone has no word on it: it may be cut off together with its nodes.
func (z *Instance) count(o *zone) {
	t := &o.tally
	*t = tally{inTime: o.inTime, by: t.by[:0], from: t.from[:0], ill: t.ill[:0], well: t.well[:0]}
	one := func(name, zone string, at Time, v *Voice) {
		if v.Stand.compare(&o.stand) == 0 {
			t.tried += yes(v.Fine+v.Late+v.Lost >= some)
			t.fine += yes(v.Fine >= some && v.Fine > v.Late+v.Lost)
			t.losers += yes(v.Lost >= some && v.Lost > (v.Fine+v.Late)/3)
			t.slow += yes(v.Late >= some && v.Late > v.Fine/3)
			t.origin += yes(v.Origin > 0.3)
		}
		if zone == o.name {
			return
		}
		if name != z.Me && v.Fine > v.Late { // an age does not count the time on the way
			t.inTime = max(t.inTime, at-v.Ago-travel)
		}
		switch v.Word {
		case For:
			t.fors++
			t.well = union(t.well, v.Well)
		case Against:
			t.against++
			t.by = append(t.by, name)
			t.ill = union(t.ill, v.Ill)
			if !slices.Contains(t.from, zone) {
				t.from = append(t.from, zone)
			}
		}
	}
	o.voices = slices.DeleteFunc(o.voices, func(h *heard) bool { return z.now-h.at > h.life })
	for h := range z.speakers(o) {
		if z.now-h.at <= fresh {
			one(h.name, z.here[h.name], h.at, &h.Voice)
		}
	}
	o.own = z.voice(o)
	one(z.Me, z.Zone, z.now, &o.own)
	t.well = slices.DeleteFunc(t.well, func(h uint32) bool { return slices.Contains(t.ill, h) })
	slices.Sort(t.well)
}

// speakers are those who are here, by name.
func (z *Instance) speakers(o *zone) iter.Seq[*heard] {
	return func(yield func(*heard) bool) {
		for _, h := range o.voices {
			if _, here := z.here[h.name]; here && !yield(h) {
				return
			}
		}
	}
}

func yes(is bool) int {
	if is {
		return 1
	}
	return 0
}

func union(a, b []uint32) []uint32 {
	for _, h := range b {
		if !slices.Contains(a, h) {
			a = append(a, h)
		}
	}
	return a
}

// survey counts who is outside a zone, and its region.
func (z *Instance) survey(o *zone) {
	count := func(within func(zone string) bool) (s survey) {
		var seen []string
		for _, p := range z.fleet {
			if p.Gone || within(p.Zone) {
				continue
			}
			s.known++
			if p.Here {
				s.here++
				if !slices.Contains(seen, p.Zone) {
					seen = append(seen, p.Zone)
				}
			}
		}
		s.from = len(seen)
		return s
	}
	o.outside = count(func(zone string) bool { return zone == o.name })
	if o.region != nil {
		o.abroad = count(func(zone string) bool { return slices.Contains(o.region.Zones, zone) })
	}
}

// quorate tells whether this proxy is among most of those that can judge a zone. Who is not may be cut off itself.
func (z *Instance) quorate(o *zone) bool {
	return !z.behind && o.outside.known >= 2 && 2*o.outside.here > o.outside.known
}

// othersAnswer tells whether another zone has answered in time since a moment, so that it is not this proxy, or all there is,
// that has gone: where all jam or slow down at once, one zone looks silent a little before the others do.
func (z *Instance) othersAnswer(o *zone, since Time) bool {
	for _, p := range z.zones {
		if p != o && p.nodes > 0 && p.stand.State < Leaving && p.tally.inTime > since {
			return true
		}
	}
	return false
}

// convicts tells whether enough speak against a zone: two at least, and the stated part of those outside who are here, from
// two zones if they stand in two, three for each that gets answers, on most of its nodes. Where all zones of a region are
// spoken against and none for, its voices are counted together.
func (z *Instance) convicts(o *zone) bool {
	t := &o.tally
	if !z.quorate(o) || o.nodes == 0 || t.against == 0 || t.against < plenty*t.fors {
		return false
	}
	enough := func(s survey, by int, from []string, ill, nodes int) bool {
		return by >= z.need(s.here) && len(from) >= min(2, s.from) && ill >= min(nodes/2+1, mostCover)
	}
	if enough(o.outside, t.against, t.from, len(t.ill), o.nodes) {
		return true
	}
	if o.region == nil {
		return false
	}
	by, from, ill, nodes := map[string]bool{}, []string(nil), 0, 0
	for _, p := range z.zones {
		if p.region != o.region || p.nodes == 0 {
			continue
		}
		if p.stand.State != Out && (p.tally.against == 0 || p.tally.fors > 0) {
			return false
		}
		for _, name := range p.tally.by {
			by[name] = true
		}
		for _, f := range p.tally.from {
			if !slices.Contains(from, f) && !slices.Contains(o.region.Zones, f) {
				from = append(from, f)
			}
		}
		ill, nodes = ill+len(p.tally.ill), nodes+p.nodes
	}
	return enough(o.abroad, len(by), from, ill, nodes)
}

// rule is one line of what is gone through for a zone, until none fires. Each that fires changes the stand, or its time.
type rule struct {
	when func(z *Instance, o *zone) bool
	do   func(z *Instance, o *zone)
}

var rules = []rule{
	{isHeld, nil},
	{func(z *Instance, o *zone) bool { return z.backed(o) != nil }, (*Instance).follow},
	{(*Instance).flapsOver, func(z *Instance, o *zone) { o.stand.Flaps = 0 }},
	// By own evidence, where most are away.
	{func(z *Instance, o *zone) bool { return o.alone.State == In && z.deserted(o) }, (*Instance).desert},
	{func(z *Instance, o *zone) bool { return o.alone.State == Out && z.now-o.aloneAt >= z.hold(&o.alone) }, (*Instance).tryAlone},
	{func(z *Instance, o *zone) bool { return o.alone.State == Returning && z.inVain(o) }, (*Instance).desert},
	{func(z *Instance, o *zone) bool { return o.alone.State == Returning && z.wellAlone(o) }, (*Instance).nextAlone},
	{func(z *Instance, o *zone) bool { return !z.quorate(o) }, nil},
	// As a fleet: what is spoken for, and for how long that has been so.
	{func(z *Instance, o *zone) bool { return o.suspect > 0 && !z.convicts(o) }, func(z *Instance, o *zone) { o.suspect, o.witness = 0, 0 }},
	{func(z *Instance, o *zone) bool { return o.suspect == 0 && o.stand.State < Leaving && z.convicts(o) }, func(z *Instance, o *zone) { o.suspect = z.now }},
	{func(z *Instance, o *zone) bool {
		return o.suspect > 0 && o.witness == 0 && z.othersAnswer(o, o.suspect)
	}, func(z *Instance, o *zone) { o.witness = z.now }},
	{func(z *Instance, o *zone) bool { return o.doubt > 0 && !z.troubled(o) }, func(z *Instance, o *zone) { o.doubt = 0 }},
	{func(z *Instance, o *zone) bool { return o.doubt == 0 && z.troubled(o) }, func(z *Instance, o *zone) { o.doubt = z.now }},
	// Then what follows.
	{func(z *Instance, o *zone) bool { return o.witness > 0 && z.now-o.witness >= z.Settle && z.spared(o) }, (*Instance).leave},
	{func(z *Instance, o *zone) bool { return o.stand.State == Leaving && z.fits(o) }, (*Instance).leaveWhole},
	{func(z *Instance, o *zone) bool { return o.stand.State >= Leaving && z.now-o.since >= z.hold(&o.stand) }, (*Instance).tryAgain},
	{func(z *Instance, o *zone) bool { return o.doubt > 0 && z.now-o.doubt >= z.Settle }, (*Instance).outAgain},
	{func(z *Instance, o *zone) bool { return o.stand.State == Returning && z.strained(o) }, (*Instance).back},
	{func(z *Instance, o *zone) bool { return o.stand.State == Returning && z.bears(o) }, (*Instance).next},
}

func isHeld(_ *Instance, o *zone) bool { return o.order.Want == Held }

func (z *Instance) follow(o *zone) { z.take(o, *z.backed(o), "as others do") }

// judge goes through the rules for a zone. A rule that does nothing ends it.
func (z *Instance) judge(o *zone) {
	o.plan = nil
again:
	z.count(o)
	for i := range rules {
		if r := &rules[i]; r.when(z, o) {
			if r.do != nil {
				if r.do(z, o); o.plan == nil {
					goto again
				}
			}
			return
		}
	}
}

// need is how many proxies it takes to move the fleet.
func (z *Instance) need(here int) int {
	return min(max(2, int(math.Ceil(z.Voices*float64(here)))), mostNeed)
}

// backed returns the latest stand that two other proxies act on, or enough of them plan, or that one acts on where only that
// one is here, if it is later than this one's own. One proxy alone, lying or broken, moves nobody.
func (z *Instance) backed(o *zone) *Stand {
	acts, plans := z.acts[:0], z.plans[:0]
	for h := range z.speakers(o) {
		acts, plans = append(acts, &h.Voice.Stand), append(plans, h.far())
	}
	z.acts, z.plans = acts, plans
	late := func(a, b *Stand) int { return b.compare(a) }
	slices.SortFunc(acts, late)
	slices.SortFunc(plans, late)
	var best *Stand
	if n := min(2, len(z.here)-1); n > 0 && len(acts) >= n {
		best = acts[n-1]
	}
	if n := z.need(o.outside.here); len(plans) >= n && plans[n-1].compare(best) > 0 {
		best = plans[n-1]
	}
	if best == nil || best.compare(&o.stand) <= 0 {
		return nil
	}
	return best
}

// move has this proxy act on what it finds, once enough others find so as well; until then it is a plan that goes round.
// What one or two alone find, by words that reached them late, would have them stand apart from all others.
func (z *Instance) move(o *zone, s Stand, why string) {
	found := 1
	for h := range z.speakers(o) {
		found += yes(h.far().order(&s) >= 0)
	}
	if found >= min(z.need(o.outside.here), len(z.here)) {
		z.take(o, s, why)
		return
	}
	o.plan = &s
}

// take has this proxy act on a stand.
func (z *Instance) take(o *zone, s Stand, why string) {
	was := o.stand
	s.Kept = slices.Clone(s.Kept)
	o.stand, o.since, o.suspect, o.witness, o.doubt = s, z.now, 0, 0, 0
	o.alone = Stand{}          // a newer epoch goes before what this proxy found alone
	o.rates = rates{at: z.now} // what comes from now on is of this stand
	if s.State >= Leaving {
		o.lastOut = z.now
	}
	z.log("zone %s: %v (epoch %d, step %d, flaps %d) from %v, %s: %d against from %d zones, %d for; %d tried, %d in time, %d unanswered, %d late; %.0f in flight, room %.0f", o.name, s.State, s.Epoch,
		s.Step, s.Flaps, was.State, why, o.tally.against, len(o.tally.from), o.tally.fors, o.tally.tried, o.tally.fine, o.tally.losers, o.tally.slow, z.flying, z.room)
}

func (z *Instance) flapsOver(o *zone) bool {
	return o.stand.Flaps > 0 && o.stand.State == In && z.now-o.lastOut >= flapsFor
}

// after is the stand that follows the one by which the zone is judged; flaps counts one more where it says so.
func (o *zone) after(state State, step int, flaps bool) Stand {
	s := Stand{Epoch: o.stand.Epoch + 1, State: state, Step: step, Flaps: o.stand.Flaps}
	if flaps {
		s.Flaps = min(s.Flaps+1, mostFlaps)
	}
	return s
}

// spared tells whether another zone stays, and at least one of its nodes: all are never left.
func (z *Instance) spared(o *zone) bool {
	for _, p := range z.zones {
		if p != o && p.nodes > 0 && z.opens(p) > 0 {
			return true
		}
	}
	return false
}

// fits tells whether the zones that stay have room for all that is in flight, cold nodes counted by what they bear, as most
// proxies find by their own.
func (z *Instance) fits(o *zone) bool {
	stay, all := 0.0, 0.0
	for _, n := range z.nodes {
		if n == nil || n.zone == nil {
			continue
		}
		all++
		if n.zone != o {
			stay += z.opens(n.zone) * z.bearsCold(n)
		}
	}
	part := stay / max(all, 1)
	fit, many := yes(z.flying <= z.room*part), 1
	for h := range z.speakers(o) {
		if z.now-h.at <= fresh {
			fit, many = fit+yes(float64(h.Flying) <= float64(h.Room)*part), many+1
		}
	}
	return 2*fit > many
}

// bearsCold is the part of its work that a node bears by now.
func (z *Instance) bearsCold(n *node) float64 {
	if age := z.now - n.Since; n.Since > 0 && age < z.Cold {
		return z.ColdFrom + (1-z.ColdFrom)*float64(max(age, 0))/float64(z.Cold)
	}
	return 1
}

func (z *Instance) leave(o *zone) {
	// where trials find it gone still it does not flap
	s := o.after(Out, 0, o.stand.Step > 0 || o.stand.State == In && z.now-o.lastOut < flapsFor)
	why := "the others have room"
	if !z.fits(o) {
		why = "the others have no room for all of it: cheap work is turned away"
		if n := len(o.tally.well); n > 0 {
			s.State, s.Kept = Leaving, slices.Clone(o.tally.well[:min(n, mostKept)])
			why += fmt.Sprintf(", %d nodes that answer stay", len(s.Kept))
		}
	}
	z.move(o, s, why)
}

func (z *Instance) leaveWhole(o *zone) {
	z.move(o, o.after(Out, 0, false), "the others have room by now")
}

// hold is how long a zone that is out is left alone: longer, the oftener it flaps.
func (z *Instance) hold(s *Stand) Time { return min(z.Hold<<min(s.Flaps, mostFlaps), z.MostHold) }

func (z *Instance) tryAgain(o *zone) {
	z.move(o, o.after(Returning, 0, false), "a few trials of all proxies together")
}

// few is how many of those who tried may find something else than the others.
func (t *tally) few() int { return max(1, t.tried/4) }

// troubled: since this step tries went unanswered, to more than a few of those who tried, and not to one proxy alone.
func (z *Instance) troubled(o *zone) bool {
	return o.stand.State == Returning && o.tally.losers >= min(2, len(z.here)-1) && 4*o.tally.losers > o.tally.tried
}

func (z *Instance) outAgain(o *zone) {
	z.move(o, o.after(Out, 0, o.stand.Step > 0), "tries go unanswered")
}

// strained: half of those who tried have late answers, since a while.
func (z *Instance) strained(o *zone) bool {
	return o.stand.Step > 0 && z.now-o.since >= z.Step && o.tally.slow >= 2 && 2*o.tally.slow > o.tally.tried
}

func (z *Instance) back(o *zone) {
	z.move(o, o.after(Returning, o.stand.Step-1, false), "answers come late")
}

// bears: a step's time is over, the zone's nodes and the origin answer in time, and nodes that start cold bear the next step.
func (z *Instance) bears(o *zone) bool {
	t, long := &o.tally, z.now-o.since
	if long < z.Step || t.losers >= min(2, len(z.here)-1) || t.slow > t.few() || t.origin > t.few() {
		return false
	}
	next := 1.0
	if o.stand.Step+1 < len(steps) {
		next = steps[o.stand.Step+1]
	}
	return (t.fine >= 1 || long >= 4*z.Step) && (next <= z.warmth(o) || next <= steps[1])
}

// warmth is the part of its work that a zone's nodes bear by now.
func (z *Instance) warmth(o *zone) float64 {
	sum, many := 0.0, 0.0
	for _, n := range z.nodes {
		if n != nil && n.zone == o {
			sum, many = sum+z.bearsCold(n), many+1
		}
	}
	return (sum + 1e-9) / max(many, 1)
}

func (z *Instance) next(o *zone) {
	s := o.after(Returning, o.stand.Step+1, false)
	if s.Step >= len(steps) {
		s.State, s.Step = In, 0
	}
	z.move(o, s, "answers come in time")
}

// deserted: of this proxy's own tries three, at two nodes or more, went unanswered, nothing has come from there for twice
// as long as a voice needs, no new connection comes up at two of its nodes, and another zone answers. Where others are here
// and do not see it so, it takes twice as much: its own way there may be cut. What connects and answers late is busy, and a
// proxy of little traffic would else pass by whole zones in a burst.
func (z *Instance) deserted(o *zone) bool {
	times := 1
	if z.quorate(o) {
		times = 2
	}
	return z.Alone && o.nodes > 0 && o.run >= 3*times && len(o.ill) >= min(o.nodes/2+1, 3) && len(o.shut) >= min(o.nodes, mostShut) && z.now-o.good >= 2*Time(times)*z.Quiet &&
		z.now-o.bad < lately && z.othersAnswer(o, o.first) && z.spared(o)
}

func (z *Instance) desert(o *zone) {
	if o.alone.State == Returning && o.alone.Step > 1 || z.now-o.aloneAt < flapsFor && o.aloneAt > 0 && o.alone.State == In {
		o.alone.Flaps = min(o.alone.Flaps+1, mostFlaps)
	} else if o.alone.State == In {
		o.alone.Flaps = 0
	}
	if o.proven = o.alone.State == Returning; !o.proven {
		z.judged.Passed++
	}
	z.log("zone %s: passed by this proxy alone, %d tries unanswered in %.1f s, on %d nodes, no connection at %d; %d of %d proxies are here", o.name,
		o.run, float64(z.now-o.good)/float64(Second), len(o.ill), len(o.shut), len(z.here), len(z.fleet))
	z.turn(o, Out, 0)
}

func (z *Instance) turn(o *zone, s State, step int) {
	o.alone.State, o.alone.Step, o.aloneAt = s, step, z.now
	o.rates, o.run, o.ill, o.shut = rates{at: z.now}, 0, o.ill[:0], o.shut[:0]
}

func (z *Instance) tryAlone(o *zone) { z.turn(o, Returning, 1) } // its few tries would else take too long

func (z *Instance) inVain(o *zone) bool {
	return o.run >= 1 && o.bad >= o.aloneAt && o.rates.lost+1 > (o.rates.fine+o.rates.late)/3
}

func (z *Instance) wellAlone(o *zone) bool {
	return z.now-o.aloneAt >= z.Step && (o.rates.fine >= 1 && o.rates.late <= o.rates.fine || z.now-o.aloneAt >= 2*z.Step)
}

func (z *Instance) nextAlone(o *zone) {
	if o.alone.Step+1 < len(steps) {
		z.turn(o, Returning, o.alone.Step+1)
		return
	}
	z.turn(o, In, 0)
	if o.proven {
		z.log("zone %s: served by this proxy as before", o.name)
		return
	}
	z.judged.Hasty++
	z.log("zone %s: served by this proxy as before; its first trials were answered", o.name)
}

// Judged counts what this proxy judged alone, since its start.
func (z *Instance) Judged() Alone { return z.judged }

func (s *Stand) open() float64 {
	switch s.State {
	case In:
		return 1
	case Returning:
		return steps[s.Step]
	}
	return 0
}

// opens is the part of a zone's keys that is served there. A proxy that stands in a zone and gets answers there goes on.
func (z *Instance) opens(o *zone) float64 {
	switch {
	case o.order.Want == KeepOut:
		return 0
	case o.order.Want == KeepIn, z.own(o):
		return 1
	}
	return min(o.stand.open(), o.alone.open())
}

// own tells whether this proxy stands in a zone that others left, and still gets answers there.
func (z *Instance) own(o *zone) bool { return o.name == z.Zone && z.now-o.good < lately }

// apply tells the caller what has changed for each node.
func (z *Instance) apply() {
	left := true
	for _, o := range z.zones {
		left = left && (o.nodes == 0 || z.opens(o) == 0)
	}
	for _, n := range z.nodes {
		left = left && (n == nil || n.zone != nil)
	}
	for _, o := range z.zones {
		open := z.opens(o)
		if left && !(o.order.Want == KeepOut && o.order.Force) {
			open = 1 // all are never left: what says that all are gone is wrong
		}
		if open != o.told && o.nodes > 0 {
			o.told = open
			z.log("zone %s: %.3f of its keys are served there, by %d nodes", o.name, open, o.nodes)
		}
	}
	for k, n := range z.nodes {
		if n == nil {
			continue
		}
		part, off := 0.0, false
		if n.zone != nil {
			part = 1 - n.zone.told
			if slices.Contains(n.zone.stand.Kept, n.hash) && n.zone.stand.State == Leaving {
				part = 0
			}
			off = part > 0 && n.zone.order.Want != KeepOut
		}
		if part != n.part || off != n.off {
			n.part, n.off = part, off
			z.say(Decision{Act: Bar, Node: k, Part: part, Off: off})
		}
	}
}

// voice is what this proxy says of a zone by now.
func (z *Instance) voice(o *zone) Voice {
	o.rates.fade(z.now)
	z.origin.fade(z.now)
	v := Voice{Zone: z.Zone, Word: z.word(o), Ago: z.now - o.good, Run: o.run, Fine: float32(o.rates.fine), Late: float32(o.rates.late), Lost: float32(o.rates.lost),
		Flying: float32(z.flying), Room: float32(z.room), Stand: o.stand}
	if all := z.origin.fine + z.origin.late; all >= 1 {
		v.Origin = float32(z.origin.late / all)
	}
	if v.Word == Against {
		v.Ill = slices.Clone(o.ill[:min(len(o.ill), mostNamed)])
	}
	if v.Word == For {
		for _, n := range z.nodes {
			if n != nil && n.zone == o && z.now-n.well < z.Quiet && len(v.Well) < mostNamed {
				v.Well = append(v.Well, n.hash)
			}
		}
	}
	return v
}

// speak tells peers of a zone while there is something to say: a change at once, within bounds that follow from how many
// proxies there are, the rest now and then.
func (z *Instance) speak(o *zone) {
	v := o.own
	v.Plan = o.plan // which the tally led to
	o.watched = v.Word == Against || o.tally.against > 0 || o.stand.State != In || o.plan != nil
	if len(z.here) < 2 || !(o.watched || o.stand.Epoch > 0 && z.now-o.since < keepsOn) {
		return
	}
	n := Time(len(z.fleet))
	gap, later := z.now-o.saidAt, Second/2+n*Second/200
	switch {
	case gap >= later:
	case (v.Stand.compare(&o.said.Stand) != 0 || (v.Plan == nil) != (o.said.Plan == nil)) && gap >= Second/10+n*Second/5000: // few, and all wait for it
	case (v.Word != o.said.Word || len(v.Ill) > len(o.said.Ill)) && gap >= Second/10+n*Second/500:
	default:
		return
	}
	o.said, o.saidAt = v, z.now
	z.say(Decision{Act: Speak, Zone: o.name, Voice: v, Life: 3*later + Second})
}

// Order takes an operator's word on a zone; of two the later stands, then the stricter.
func (z *Instance) Order(now Time, d Order) []Decision {
	z.begin(now)
	o := z.find(d.Zone)
	if o == nil || d.Want > KeepOut || d.Epoch < 1 || cmp.Or(cmp.Compare(d.Epoch, o.order.Epoch), cmp.Compare(d.Want, o.order.Want)) <= 0 {
		return z.out
	}
	was := o.order.Want
	d.Zone, d.By = o.name, strings.Clone(d.By)
	o.order, o.suspect, o.witness = d, 0, 0
	if d.Want != was {
		z.log("zone %s: ordered %v by way of %s (order %d, before %v)", o.name, d.Want, d.By, d.Epoch, was)
	}
	if was == KeepOut && d.Want == Auto && o.stand.State == In { // its nodes may have been restarted: all at once would push them over
		if len(z.here) > 1 {
			z.take(o, o.after(Returning, 0, false), "no longer ordered out")
		} else {
			z.turn(o, Returning, 1)
		}
	}
	z.apply()
	return z.out
}

// Zones names the zones that a name stands for: its own, or those of a region.
func (t *Terms) Zones(name string) []string {
	for _, r := range t.Regions {
		if r.Name == name {
			return r.Zones
		}
	}
	return []string{name}
}

// Check tells what is wrong with an order, "": nothing. An epoch that is not negative has to be that of the order that stands
// for each of the zones, 0: none.
func Check(shown []Shown, names []string, want Want, epoch int64, force bool) string {
	stays := false
	for i := range shown {
		s := &shown[i]
		stays = stays || s.Nodes > 0 && !slices.Contains(names, s.Name) && s.Open > 0 && s.Order.Want != KeepOut
	}
	for _, name := range names {
		i := slices.IndexFunc(shown, func(s Shown) bool { return s.Name == name })
		if i < 0 {
			return fmt.Sprintf("zone %q: no node has it", name)
		}
		if now := shown[i].Order.Epoch; epoch >= 0 && now != epoch {
			return fmt.Sprintf("zone %q: order %d does not stand, but %d", name, epoch, now)
		}
	}
	if want == KeepOut && !stays && !force {
		return fmt.Sprintf("zone %q: no other zone would be left in", names[0])
	}
	return ""
}

// Busy tells whether ticks have something to look at: where no peers are, nothing comes of them on a calm day.
func (z *Instance) Busy() bool {
	for _, o := range z.zones {
		if o.run > 0 || o.alone.State != In || o.stand.State != In {
			return true
		}
	}
	return len(z.here) > 1
}

// Shown lists how all zones stand, by name.
func (z *Instance) Shown(now Time) []Shown {
	all := make([]Shown, 0, len(z.zones))
	z.now = max(now, z.now)
	for _, o := range z.zones {
		s := Shown{Name: o.name, Nodes: o.nodes, Open: o.told, Stand: o.stand, Alone: o.alone.State != In, Own: z.own(o) && o.stand.State != In,
			Order: o.order, Against: o.tally.against, For: o.tally.fors, AgainstZones: len(o.tally.from), Watched: o.watched,
			Held: z.now - o.since, By: slices.Clone(o.tally.by), Tried: o.tally.tried, Fine: o.tally.fine, Late: o.tally.slow, Lost: o.tally.losers}
		all = append(all, s)
	}
	return all
}
