package balancer

// What an instance needs that only watches: it is given all that another one is given, decides, and is then told what
// the other did. Nothing here decides.

// Has tells whether the instance still has a say over an exchange.
func (b *Instance) Has(cx int) bool { return cx < len(b.xs) && b.xs[cx].live }

// Yield takes an exchange out of the instance's hands. It goes on learning from the exchange's tries.
func (b *Instance) Yield(cx int) { b.close(cx) }

// Unsent takes back the last try of an exchange, which this instance decided on and which was not sent.
func (b *Instance) Unsent(cx int) {
	x := &b.xs[cx]
	n := &b.nodes[x.node]
	n.out--
	x.out--
	x.legs--
	x.node, x.leg = x.twin, x.leg-1 // of a copy: the first try stands
	x.tried = x.tried[:len(x.tried)-1]
	if n.Origin {
		b.atOrigin--
	} else {
		b.flying--
	}
}

// Went notes a try that the other sent.
func (b *Instance) Went(now Time, cx, node int) {
	b.now = now
	b.went(&b.xs[cx], node)
}

// Load is how many tries are out at caches, and how many those answer in time.
func (b *Instance) Load() (flying int, room float64) { return b.flying, b.room }

// Passed tells whether a node is passed over until it answers.
func (b *Instance) Passed(at int) bool { return at < len(b.nodes) && b.nodes[at].down }

// Out is how many tries are out, as far as the instance knows.
func (b *Instance) Out() int { return b.flying + b.atOrigin }
