package balancer

// Nodes takes the node list, whole or only the changed lines.
func (b *Instance) Nodes(now Time, whole, first bool, lines []Listing) []Decision {
	b.begin(now)
	if whole {
		b.walk++
		for _, l := range lines {
			if l.Node < len(b.nodes) {
				b.nodes[l.Node].seen = b.walk
			}
		}
		for i := range b.nodes {
			b.nodes[i].Ready = b.nodes[i].Ready && b.nodes[i].seen == b.walk
		}
	}
	for _, l := range lines {
		for len(b.nodes) <= l.Node {
			b.nodes = append(b.nodes, node{})
		}
		n := &b.nodes[l.Node]
		if n.Name != l.Name {
			*n = node{} // another's, long gone: what was known of that one says nothing of this
		}
		if l.Since == 0 && n.Name == "" && !first {
			l.Since = now // newly seen: as good as just started
		}
		if n.Name == "" || l.Since > n.Since {
			// a process that started anew owes nothing to the old one's record, and is cold
			n.down, n.rest, n.answers, n.slow, n.faults, n.refused = false, 0, 0, 0, 0, 0
			n.budget, n.budgetAt, n.doubt, n.metAt = 0, now, 0, now-b.hush-1
		}
		l.Since = max(l.Since, n.Since)
		n.Listing = l
	}
	b.rebuild()
	if b.ask && first {
		b.say(Decision{Act: Follow})
	}
	return b.settle()
}

// ListFailed reports that asking for the list failed; it is asked for again, well within the term for
// asking.
func (b *Instance) ListFailed(now Time) []Decision {
	b.begin(now)
	if b.ask {
		b.askAt = now + min(second, b.askEvery/4)
	}
	return b.settle()
}
