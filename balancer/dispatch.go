package balancer

import (
	"fmt"
	"slices"
)

func (b *Instance) begin(now Time) { b.now, b.out = now, b.out[:0] }

// settle goes through the rules until none fires, then sees to the one wake that is out.
func (b *Instance) settle() []Decision {
again:
	for i := range rules {
		if r := &rules[i]; r.held == (b.hand != nil) && r.when(b) {
			r.do(b)
			goto again
		}
	}
	next := b.askAt
	if len(b.due.at) > 0 {
		next = min(next, b.due.at[0].due)
	}
	if b.queued > 0 && b.originAt > b.now {
		next = min(next, b.originAt)
	}
	if next < b.wakeAt {
		b.wakeAt = next
		b.say(Decision{Act: Wake, After: max(next-b.now, 1)})
	}
	return b.out
}

func (b *Instance) say(d Decision) { b.out = append(b.out, d) }

func (b *Instance) log(format string, args ...any) {
	b.say(Decision{Act: Log, Text: fmt.Sprintf(format, args...)})
}

func (b *Instance) take(cx int) { b.hand, b.at, b.pick = &b.xs[cx], cx, unknown }

func (b *Instance) takeNext() {
	b.take(b.todo[0])
	b.todo = slices.Delete(b.todo, 0, 1)
}

func (b *Instance) takeDue() {
	cx := b.due.at[0].cx
	b.forget(cx)
	x := &b.xs[cx]
	if x.waits {
		b.unwait(cx)
	}
	b.take(cx)
}

func (b *Instance) takeQueued() {
	for i := range b.queue {
		if len(b.queue[i]) > 0 {
			cx := b.queue[i][0]
			b.unqueue(cx)
			b.take(cx)
			return
		}
	}
}
