package rebalance

import (
	"cmp"
	"math"
	"slices"
)

// state is what has come of an order so far.
type state struct {
	*board
	on   []int
	load []int64
	todo []int // shards that are not where they are to be, the largest first
	plan *Plan
	goal []int
}

// order brings each shard where it is to be: in each step as many moves as there is room for, those first that leave a node which
// others wait for. Where none has room, one shard goes by way of a third node: the one that costs the fewest bytes.
func (b *board) order(goal []int) (*Plan, error) {
	w := &state{board: b, on: slices.Clone(b.on), load: slices.Clone(b.load), plan: &Plan{LowerBoundBytes: b.least()}, goal: goal}
	for s := range goal {
		if w.on[s] != goal[s] {
			w.todo = append(w.todo, s)
		}
	}
	w.sort()
	for most := 4*len(w.todo) + 64; len(w.todo) > 0; most-- {
		step := w.step()
		if len(step) == 0 {
			m, ok := w.aside()
			if !ok || most < 0 {
				return nil, w.wedged()
			}
			step = append(step, m)
			w.plan.IntermediateMoves++
		}
		w.take(step)
	}
	return w.plan, nil
}

func (w *state) sort() {
	slices.SortFunc(w.todo, func(x, y int) int {
		return cmp.Or(cmp.Compare(w.shards[y].Bytes, w.shards[x].Bytes), cmp.Compare(x, y))
	})
}

// step finds moves that may all be on their way at once: where they go has room for all of them, where they come from keeps its
// copies meanwhile.
func (w *state) step() (step []Move) {
	awaited := make([]int64, len(w.nodes)) // bytes that are to come, beyond the room there is
	for n := range awaited {
		awaited[n] = w.load[n] - w.nodes[n].Capacity
	}
	for _, s := range w.todo {
		awaited[w.goal[s]] += w.shards[s].Bytes
	}
	parts, coming := make([]int, len(w.nodes)), make([]int64, len(w.nodes))
	for _, first := range []bool{true, false} {
		for _, s := range w.todo {
			w.breathe()
			if len(step) >= w.InAll {
				return step
			}
			from, to := w.on[s], w.goal[s]
			if first != (from != nowhere && awaited[from] > 0) || parts[to] >= w.PerNode || from != nowhere && parts[from] >= w.PerNode ||
				w.load[to]+coming[to]+w.shards[s].Bytes > w.nodes[to].Capacity {
				continue
			}
			step = append(step, w.move(s, to))
			coming[to] += w.shards[s].Bytes
			if parts[to]++; from != nowhere {
				parts[from]++
			}
		}
	}
	return step
}

func (w *state) move(s, to int) Move {
	m := Move{Shard: w.shards[s].ID, To: w.nodes[to].Name, Bytes: w.shards[s].Bytes}
	if w.on[s] != nowhere {
		m.From = w.nodes[w.on[s]].Name
	}
	return m
}

// take carries a step out.
func (w *state) take(step []Move) {
	w.plan.Steps = append(w.plan.Steps, step)
	at, to := map[int]bool{}, map[int]string{}
	for _, m := range step {
		at[m.Shard], to[m.Shard] = true, m.To
		w.plan.Bytes += m.Bytes
	}
	more := false
	put := func(s int) {
		n := w.at[to[w.shards[s].ID]]
		if w.on[s] != nowhere {
			w.load[w.on[s]] -= w.shards[s].Bytes
		}
		w.on[s] = n
		w.load[n] += w.shards[s].Bytes
		delete(at, w.shards[s].ID)
	}
	for _, s := range w.todo {
		if at[w.shards[s].ID] {
			put(s)
		}
	}
	for s := range w.shards { // one that was in place and had to make room
		if len(at) == 0 {
			break
		}
		if at[w.shards[s].ID] {
			put(s)
			w.todo, more = append(w.todo, s), true
		}
	}
	w.todo = slices.DeleteFunc(w.todo, func(s int) bool { return w.on[s] == w.goal[s] })
	if more {
		w.sort()
	}
}

// aside finds the shard that costs least to have make room: on a node that others wait for, with a third one that has room for it.
func (w *state) aside() (Move, bool) {
	lacks := make([]int64, len(w.nodes)) // the least that would let one in
	for n := range lacks {
		lacks[n] = math.MaxInt64
	}
	for _, s := range w.todo {
		n := w.goal[s]
		lacks[n] = min(lacks[n], w.load[n]+w.shards[s].Bytes-w.nodes[n].Capacity)
	}
	roomy := make([]int, 0, len(w.nodes))
	for n := range w.nodes {
		if !w.nodes[n].Draining {
			roomy = append(roomy, n)
		}
	}
	slices.SortStableFunc(roomy, func(x, y int) int { return cmp.Compare(w.nodes[y].Capacity-w.load[y], w.nodes[x].Capacity-w.load[x]) })
	best, to, cost := nowhere, nowhere, int64(math.MaxInt64)
	for s := range w.shards {
		n := w.on[s]
		if n == nowhere || lacks[n] == math.MaxInt64 || w.shards[s].Pinned || w.shards[s].Bytes == 0 {
			continue
		}
		c := w.shards[s].Bytes
		if w.goal[s] == n {
			c *= 2 // it has to come back
		}
		if short := lacks[n] - w.shards[s].Bytes; short > 0 {
			c += 1<<40 + short // it alone is not enough: only if none is
		}
		if c >= cost {
			continue
		}
		for _, r := range roomy {
			if r != n && r != w.goal[s] && w.nodes[r].Capacity-w.load[r] >= w.shards[s].Bytes && w.shards[s].allowsZone(w.nodes[r].Zone) {
				best, to, cost = s, r, c
				break
			}
		}
	}
	if best == nowhere {
		return Move{}, false
	}
	return w.move(best, to), true
}

// wedged tells what the waiting moves lack.
func (w *state) wedged() error {
	e, least := &StuckError{Shards: len(w.todo)}, map[int]int64{}
	for _, s := range w.todo {
		n := w.goal[s]
		if l, ok := least[n]; !ok || w.load[n]+w.shards[s].Bytes-w.nodes[n].Capacity < l {
			least[n] = w.load[n] + w.shards[s].Bytes - w.nodes[n].Capacity
		}
	}
	for n, l := range least {
		e.Lacks = append(e.Lacks, Lack{w.nodes[n].Name, l})
	}
	slices.SortFunc(e.Lacks, func(x, y Lack) int { return cmp.Or(cmp.Compare(x.Bytes, y.Bytes), cmp.Compare(x.Node, y.Node)) })
	return e
}

// least is a bound that no plan goes below: what has to leave where it is, and of the rest what is over what a node may have.
func (b *board) least() (sum int64) {
	stays := make([]int64, len(b.nodes))
	for s := range b.shards {
		switch on := b.on[s]; {
		case on == nowhere || !b.may(s, on) || b.want[s] != nowhere && b.want[s] != on:
			sum += b.shards[s].Bytes
			if w := b.want[s]; w != nowhere {
				stays[w] += b.shards[s].Bytes
			}
		default:
			stays[on] += b.shards[s].Bytes
		}
	}
	for n := range b.nodes {
		sum += max(stays[n]-b.most[n], 0)
	}
	return sum
}
