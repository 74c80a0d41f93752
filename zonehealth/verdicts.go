package zonehealth

import (
	"cmp"
	"fmt"
	"slices"
)

// Verdicts: the rules by which a zone is left and returned to, and what they do to each node.

// steps are the parts of its keys that a zone has back, one after the other: first a few trials for the whole fleet together.
var steps = [...]float64{1.0 / 64, 1.0 / 16, 1.0 / 4, 1.0 / 2}

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
