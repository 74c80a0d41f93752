package balancer

// Bar has a part of the keys pass a node by, the same keys at every proxy, since its zone is left: none of
// their tries goes there, the room is that of the others, and what is out there is called off if off says so.
func (b *Instance) Bar(now Time, at int, part float64, off bool) []Decision {
	b.begin(now)
	b.nodes[at].part, b.nodes[at].off = part, off
	for cx := range b.xs {
		if x := &b.xs[cx]; off && x.live && x.out > 0 && x.node == at {
			b.todo = append(b.todo, cx)
		}
	}
	b.rebuild()
	return b.settle()
}

// barred holds for a node that the key in hand passes by, since its zone is left in whole or in part.
func (b *Instance) barred(n *node) bool {
	return n.part > 0 && float64(mix(mix(b.hand.Key))>>40) < n.part*(1<<24)
}

// leavesZone holds for a try that is out in a zone that is left, or overdue in one that returns, if the route
// lets it be sent elsewhere: a deduped one's repeat that leaves its group would be carried out.
func (b *Instance) leavesZone() bool {
	x := b.hand
	n, r := &b.nodes[x.node], &b.routes[x.Route]
	return n.off && !x.off && b.mayCancel && (b.barred(n) || b.overdue(n)) && (r.Effect ==
		Retriable || r.Effect == Deduped && r.Group == GroupAll && b.now < x.sent+r.Window)
}

func (b *Instance) callOff() {
	b.hand.off = true // once for a try; no sign of too much work, so that its repeat is not of those bounded
	b.say(Decision{Act: Cancel, Cx: b.at, Leg: b.hand.leg})
}
