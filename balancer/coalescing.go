package balancer

import "slices"

// mayJoin holds for a read of a key whose fetch by this proxy is out, once for each exchange.
func (b *Instance) mayJoin() bool {
	x := b.hand
	if !x.Keyed || x.Write || x.joined || x.queued {
		return false
	}
	lead, ok := b.fetches[x.Key]
	return ok && lead != b.at
}

func (b *Instance) join() {
	x := b.hand
	x.joined, x.waits = true, true
	b.waiters[x.Key] = append(b.waiters[x.Key], b.at)
	b.remind(b.at, min(b.now+(x.good-b.now)/2, x.deadline-b.tick))
	b.hand = nil
}

// landed lets those go on that waited for a fetch; they ask the cache, which now holds the answer.
func (b *Instance) landed(x *exchange) {
	x.leads = false
	delete(b.fetches, x.Key)
	for _, w := range slices.Backward(b.waiters[x.Key]) {
		o := &b.xs[w]
		o.waits, o.missed = false, false
		o.tried = o.tried[:0]
		b.forget(w)
		b.todo = append(b.todo, w)
	}
	delete(b.waiters, x.Key)
}

func (b *Instance) lead(x *exchange) {
	if _, out := b.fetches[x.Key]; x.Keyed && !x.Write && !out {
		b.fetches[x.Key] = b.at
		x.leads = true
	}
}
