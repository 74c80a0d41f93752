// Package zonehealth decides when a whole zone is left by all proxies of a fleet, and how it returns. Each proxy's tries give it
// a word on each zone, for or against; words go round among proxies, and enough of them, from proxies that are most of
// those outside the zone, make a verdict with an epoch. One Instance decides for one proxy; without peers it judges by its
// own tries, more slowly. Each method reports one thing that happened, with the caller's clock, and returns the decisions
// that follow, in order, in a slice that the next call reuses. Same inputs, same output. No I/O in here.
package zonehealth

import (
	"cmp"
	"fmt"
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

// New returns an instance that knows no nodes.
func New(now Time, t Terms) *Instance {
	return &Instance{
		Terms: t, now: now, tickAt: now, here: map[string]string{}, took: float64(t.Shortest) / 8,
		strays: float64(t.Shortest) / 16,
	}
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
	o := &zone{
		name: name, good: z.now - longAgo, inTime: z.now - longAgo, bad: z.now - longAgo, lastOut: z.now - longAgo, knocked: z.now - longAgo, saidAt: z.now - longAgo, since: z.now,
		told: 1,
	}
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

// Busy tells whether ticks have something to look at: where no peers are, nothing comes of them on a calm day.
func (z *Instance) Busy() bool {
	for _, o := range z.zones {
		if o.run > 0 || o.alone.State != In || o.stand.State != In {
			return true
		}
	}
	return len(z.here) > 1
}
