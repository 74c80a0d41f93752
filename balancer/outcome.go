package balancer

import "math"

// judge learns of a node's health from the end of a try.
func (b *Instance) judge(x *exchange, n *node, a Answer) {
	n.refused += (one(a.Ending == NoRoom) - n.refused) * weight(1.0/8, b.now-n.triedAt, 3*second)
	n.triedAt = b.now
	alive := a.Ending == Completed || a.Ending == Lacking || a.Ending == Fault || a.Ending == NoRoom
	// a try called off when its time was up was no less late than one whose own time-out came first
	late := a.Ending == Silent || (a.Ending == Completed || a.Ending == Lacking || a.Ending == Undone) &&
		a.Took > b.routes[x.Route].aim*3/4
	if n.Origin && a.Ending == Completed {
		// with many proxies one asks the origin once in a second or two, and would learn of a jam when it is over
		b.fetch += (float64(a.Took) - b.fetch) * weight(1.0/16, b.now-b.fetchAt, 4*second)
		b.fetchAt = b.now
		b.limit = max(b.limit, b.held/2*one(a.Took <= 2*b.originAim)) // silence tells of the way there
	}
	if !n.Origin && !x.missed && !((a.Ending == Silent || a.Ending == Undone) && n.down) {
		b.lates += (one(late) - b.lates) * weight(1.0/64, b.now-b.latesAt, 10*second)
		b.latesAt = b.now
	}
	switch {
	case n.Origin && a.Ending == Completed && a.Took <= b.originAim:
		if float64(b.atOrigin+1) > b.limit/2 { // what was never used was never tried
			b.limit = min(b.limit+min(b.limit, 1/b.limit), 256)
		}
	case n.Origin && (a.Ending == NoRoom || a.Took > 2*b.originAim &&
		(b.fetch > float64(b.originAim) || a.Ending != Completed && n.quiet <= x.sent)):
		// one long answer among quick ones tells of the work in it, a write's above all, not of a loaded origin,
		// and one that never comes while others do, of its connection
		if b.now-b.cutAt > b.originAim {
			part := 0.7
			if b.limit <= 1 {
				part = 0.4 // with pauses between tries there are few sights to fall by
			}
			b.limit = max(b.limit*part, b.least)
			b.cutAt = b.now
		}
	case n.Origin || x.missed || (a.Ending == Silent || a.Ending == Undone) && n.down:
		// the origin's, or a silent node's: no sign that the caches have too much to do
	case late || a.Ending == Fault && b.faults > 0.1 || a.Ending == NoRoom && x.legs >= 3:
		b.slows(n, float64(max(a.Took, b.hush/2)), 0.5)
		if a.Ending == NoRoom || a.Ending == Fault || n.slow < 2*b.took || b.peers > 0 && b.lates > 0.2 {
			// a few nodes that are late among quick ones are passed by; they do not tell of too much work for all, but
			// a fifth of all answers do, though mean and lateness drift apart when late tries end unanswered. Where
			// peers tell nothing a fifth may come of resets and jams that each proxy meets for itself
			b.room = max(min(b.room, 4*float64(b.flying)+8)*(1-b.cut()), 2, float64(b.caches)*b.share)
		}
	case a.Ending == Completed:
		if float64(b.flying) > b.room/2 {
			b.room += max(b.room*0.002, 0.02)
		}
		b.slows(n, float64(a.Took), 0.25)
		b.timed = min(b.timed+1, 32) // the first ones count for more: with little traffic 32 take seconds
		b.took += (float64(a.Took) - b.took) / b.timed
		b.strays += (math.Abs(float64(a.Took)-b.took) - b.strays) / max(b.timed, 4)
	}
	b.held += (b.limit - b.held) * one(n.Origin && a.Ending == Completed)
	if n.Origin && b.limit < 1 {
		// of many proxies, one try of each at a time is more than a loaded origin answers
		b.originAt = b.now + Time((1/b.limit-1)*float64(b.originAim))
	}
	if tight := b.limit < b.lean || b.tight && b.limit < 2*b.lean; tight != b.tight {
		b.tight = tight
		b.log("origin tight %v: %.1f at a time, answers take %.0f ms, %d wait", tight, b.limit, b.fetch/10,
			b.queued)
	}
	if alive {
		n.quiet, n.metAt = b.now, b.now
		if n.doubt > 0 {
			n.doubt = 0
			b.tell(n, true)
		}
	}
	if alive && !n.Origin {
		b.lastCome = b.now
		if a.Ending != NoRoom {
			n.answers++
			b.count(1)
			bad := one(a.Ending == Fault)
			n.faults += (bad - n.faults) / 8
			b.faults += (bad - b.faults) / 64
		}
		if a.Ending == Fault && n.faults > 0.4 && n.faults > 2*b.faults {
			b.fell(n) // it fails much of its work, and the others do not
		} else if n.down && a.Ending != Fault {
			n.down, n.rest = false, 0
			b.log("node %d answers again", n.Node)
		}
	}
	if a.Ending == Unreachable && !n.Origin || (a.Ending == Silent || a.Ending == Undone) && n.down &&
		n.quiet <= x.sent && b.now >= n.retryAt { // the latter is a trial in vain
		b.fell(n)
	}
}
