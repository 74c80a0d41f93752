package balancer

// went notes that a try is out.
func (b *Instance) went(x *exchange, to int) {
	n := &b.nodes[to]
	if n.out == 0 {
		n.quiet = b.now
	}
	n.out++
	x.out++
	x.leg, x.twin = x.legs, x.node
	x.legs++
	x.node, x.sent = to, b.now
	x.tried = append(x.tried, to)
	if n.Origin {
		b.atOrigin++
	} else {
		b.flying++
	}
	if x.ran && !x.cut && !x.off {
		b.spare--
	}
	x.off = false
	if n.down {
		n.retryAt = b.now + n.rest
	}
}
