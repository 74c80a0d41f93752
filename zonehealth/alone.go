package zonehealth

import "slices"

// What a proxy judges by its own tries alone, where nobody is here to judge with.

// wonders: tries go unanswered in a zone and nothing has come, yet it is not known whether its nodes are there: open connections
// tell of no loss, and in a burst no answer comes in time.
func (z *Instance) wonders(o *zone) bool {
	return z.Alone && o.stand.State == In && len(o.shut) < min(o.nodes, mostShut) && z.now-o.bad < lately && z.now-o.knocked >= 2*z.Quiet &&
		(o.alone.State == In && o.run >= 2 && z.now-o.good >= z.Quiet || o.alone.State == Returning && o.run >= 1)
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

// inVain: trials go unanswered and no connection comes up; one of few tries is soon lost to something else.
func (z *Instance) inVain(o *zone) bool {
	return o.run >= 1 && o.bad >= o.aloneAt && len(o.shut) > 0 && o.rates.lost+1 > (o.rates.fine+o.rates.late)/3
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
