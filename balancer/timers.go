package balancer

import (
	"cmp"
	"container/heap"
)

// remind looks at an exchange again at the given time; one reminder each.
func (b *Instance) remind(cx int, at Time) {
	x := &b.xs[cx]
	x.due = at
	if x.place < 0 {
		b.due.b = b
		heap.Push(&b.due, entry{at, cx})
		return
	}
	b.due.at[x.place].due = at
	heap.Fix(&b.due, x.place)
}

// Until has all that is owed given up on by a time at the latest, since the process ends then.
func (b *Instance) Until(now, until Time) []Decision {
	b.begin(now)
	for cx := range b.xs {
		if x := &b.xs[cx]; x.live && x.place >= 0 && x.deadline > until {
			x.deadline, x.good = until, min(x.good, until-b.tick)
			b.remind(cx, min(x.due, x.good))
		}
	}
	return b.settle()
}

func (b *Instance) forget(cx int) {
	if p := b.xs[cx].place; p >= 0 {
		heap.Remove(&b.due, p)
	}
}

// dues is the heap of reminders: at most one for each exchange, gone when it has its answer.
type dues struct {
	b  *Instance
	at []entry
}

type entry struct {
	due Time
	cx  int
}

func (d *dues) Len() int { return len(d.at) }
func (d *dues) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(d.at[i].due, d.at[j].due), cmp.Compare(d.at[i].cx, d.at[j].cx)) < 0
}

func (d *dues) Swap(i, j int) {
	d.at[i], d.at[j] = d.at[j], d.at[i]
	d.b.xs[d.at[i].cx].place, d.b.xs[d.at[j].cx].place = i, j
}

func (d *dues) Push(v any) {
	d.at = append(d.at, v.(entry))
	d.b.xs[v.(entry).cx].place = len(d.at) - 1
}

func (d *dues) Pop() any {
	e := d.at[len(d.at)-1]
	d.at = d.at[:len(d.at)-1]
	d.b.xs[e.cx].place = -1
	return e
}
