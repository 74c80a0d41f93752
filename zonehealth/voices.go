package zonehealth

import (
	"iter"
	"math"
	"slices"
)

// What proxies say of a zone, what it comes to, and whether that is enough.

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

// need is how many proxies it takes to move the fleet.
func (z *Instance) need(here int) int {
	return min(max(2, int(math.Ceil(z.Voices*float64(here)))), mostNeed)
}

// voice is what this proxy says of a zone by now.
func (z *Instance) voice(o *zone) Voice {
	o.rates.fade(z.now)
	z.origin.fade(z.now)
	v := Voice{
		Zone: z.Zone, Word: z.word(o), Ago: z.now - o.good, Run: o.run, Fine: float32(o.rates.fine), Late: float32(o.rates.late), Lost: float32(o.rates.lost),
		Flying: float32(z.flying), Room: float32(z.room), Stand: o.stand,
	}
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
