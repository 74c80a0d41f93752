package balancer

// Rest has a node's next trial, if it is passed over, be no sooner than at a time: all proxies take turns.
func (b *Instance) Rest(now Time, at int, until Time) []Decision {
	b.begin(now)
	b.nodes[at].retryAt = until
	return b.settle()
}

// fallsSilent holds when a cache has answered nothing since the try in hand was sent, for as long as an
// answer may take, while another cache has answered: a node that takes work and does none, or is cut off.
func (b *Instance) fallsSilent() bool {
	n := &b.nodes[b.hand.node]
	return !n.down && !n.Origin && b.overdue(n) && b.lastCome > b.hand.sent &&
		(n.out >= 2 || b.now-b.hand.sent >= b.hush)
}

func (b *Instance) overdue(n *node) bool {
	return n.quiet <= b.hand.sent && b.now-b.hand.sent >= b.long(4)
}

// sick holds for a node that is passed over: it failed to connect or went silent, and its next try is not
// due.
func (b *Instance) sick(n *node) bool {
	return n.down && (b.now < n.retryAt || n.out > 0)
}

func (b *Instance) fell(n *node) {
	// as long as it may be until this proxy would ask it anyway, or each try is a trial
	n.rest = min(max(2*n.rest, b.hush, b.meetings()), 4*max(b.hush, b.meetings()))
	n.retryAt = b.now + n.rest
	b.tell(n, false)
	if !n.down {
		n.down = true
		b.log("node %d passed over: %d out, silent %d ms, %.0f%% failed", n.Node, n.out, (b.now-n.quiet)/10,
			100*n.faults)
	}
}
