package balancer

func (b *Instance) originRoom() bool {
	return len(b.origins) > 0 && b.atOrigin < max(int(b.limit), 1) && b.now >= b.originAt
}

// hopeless holds when the queue for the origin is too long for an answer in time.
func (b *Instance) hopeless() bool {
	return max(b.now, b.originAt)+Time((1+float64(b.queued)/b.limit)*b.fetch) > b.hand.good
}

func (b *Instance) enqueue() {
	x := b.hand
	x.queued = true
	b.queued++
	i := 1 - int(one(x.Write)) // writes first
	b.queue[i] = append(b.queue[i], b.at)
	b.lead(x)
	b.remind(b.at, min(x.good, x.deadline-b.tick))
	b.hand = nil
}

// quietest is the origin with the fewest own tries out, -1: none may have the exchange in hand.
func (b *Instance) quietest() int {
	best := -1
	for _, o := range b.origins {
		if b.inGroup(o) && (best < 0 || b.nodes[o].out < b.nodes[best].out) {
			best = o
		}
	}
	return best
}

func (b *Instance) toOrigin() {
	best := b.quietest()
	if best < 0 {
		b.giveUp()
		return
	}
	b.lead(b.hand)
	// let it finish: late, it fills the cache yet, and given up, it would cost the origin as much
	b.hand.good = b.hand.deadline - b.tick
	b.send(best)
}
