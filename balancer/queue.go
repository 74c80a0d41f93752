package balancer

import "slices"

// close ends what is known of an exchange but for the tries that are still out.
func (b *Instance) close(cx int) {
	x := &b.xs[cx]
	x.live = false
	b.forget(cx)
	if x.queued {
		b.unqueue(cx)
	}
	if x.waits {
		b.unwait(cx)
	}
	if x.leads {
		b.landed(x)
	}
}

func (b *Instance) unwait(cx int) {
	x := &b.xs[cx]
	x.waits = false
	b.waiters[x.Key] = slices.DeleteFunc(b.waiters[x.Key], func(at int) bool { return at == cx })
}

func (b *Instance) unqueue(cx int) {
	b.xs[cx].queued = false
	b.queued--
	for i := range b.queue {
		if j := slices.Index(b.queue[i], cx); j >= 0 {
			b.queue[i] = slices.Delete(b.queue[i], j, j+1)
		}
	}
}
