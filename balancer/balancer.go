package balancer

import "math"

// Arrive takes a new exchange under the index cx.
func (b *Instance) Arrive(now Time, cx int, e Exchange) []Decision {
	b.begin(now)
	for len(b.xs) <= cx {
		b.xs = append(b.xs, exchange{place: -1})
	}
	x := &b.xs[cx]
	*x = exchange{
		Exchange: e, live: true, fresh: true, place: -1, node: -1, ranNode: -1,
		tried: x.tried[:0],
	}
	r := &b.routes[e.Route]
	x.deadline = now + e.Remaining
	x.good = now + r.patience - b.since(r, &e)
	x.aim = x.good - r.patience + r.aim
	x.good = min(x.good, x.deadline-b.tick)
	x.missed = e.Write && b.aside
	x.beyond = b.spend(e.Tenant)
	b.todo = append(b.todo, cx)
	return b.settle()
}

// since returns how long ago the client first asked, where its remaining time tells. First tries of a route
// come with the same time left, give or take two ticks; a later one that shows another has what is left of
// the overall timeout, and its objective has been running all along.
func (b *Instance) since(r *route, e *Exchange) Time {
	near := max(e.Remaining-r.usual, r.usual-e.Remaining) <= 2*b.tick
	switch {
	case near && !e.Repeat:
		r.votes = min(r.votes+1, 1000)
	case e.Repeat && near:
	case e.Repeat || r.votes > 0:
		if !e.Repeat {
			r.votes--
		}
		return max(r.Overall-e.Remaining, 0)
	default:
		r.usual, r.votes = e.Remaining, 1
	}
	return 0
}

// Streaming reports that the answer has begun: the exchange now lives and dies with that try.
func (b *Instance) Streaming(now Time, cx int) []Decision {
	b.begin(now)
	if cx < len(b.xs) && b.xs[cx].live {
		b.xs[cx].streaming = true
		b.forget(cx)
	}
	return b.settle()
}

// Left reports that the client went away; nothing is owed any more.
func (b *Instance) Left(now Time, cx int) []Decision {
	b.begin(now)
	if cx < len(b.xs) && b.xs[cx].live {
		b.close(cx)
	}
	return b.settle()
}

// Woken reports that the time asked for with Wake has come.
func (b *Instance) Woken(now Time) []Decision {
	b.begin(now)
	b.wakeAt = math.MaxInt64
	return b.settle()
}

// Returned reports the end of an upstream try.
func (b *Instance) Returned(now Time, a Answer) []Decision {
	b.begin(now)
	x, n := &b.xs[a.Cx], &b.nodes[a.Node]
	if x.out--; x.out == 1 && a.Node == x.node {
		x.node, x.leg = x.twin, x.leg-1 // the copy has ended, and the first try goes on
	}
	n.out--
	if n.Origin {
		b.atOrigin--
	} else {
		b.flying--
	}
	b.judge(x, n, a)
	neverRan := a.Ending == NoRoom || a.Ending == Unreachable || a.Ending == NeverSent || a.Ending == Lacking
	if !neverRan && !x.ran {
		x.ran, x.ranAt, x.ranNode = true, x.sent, a.Node
	}
	if a.Ending == Lacking {
		x.missed = true
	}
	x.cut = a.Ending == Cut
	if x.leads && n.Origin {
		b.landed(x)
	}
	if a.Ended && x.live {
		b.close(a.Cx)
	}
	if x.live {
		b.todo = append(b.todo, a.Cx)
	}
	return b.settle()
}

// send starts an upstream try; its time-out is what is left of the time worth waiting.
func (b *Instance) send(to int) {
	x := b.hand
	b.went(x, to)
	b.say(Decision{Act: Send, Cx: b.at, Node: to, After: max(min(x.good, x.deadline-b.tick)-b.now, b.tick)})
	b.waitOn()
}
