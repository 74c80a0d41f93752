package rebalance

import (
	"container/heap"
	"math"
	"slices"
)

// search goes through placements in the order of the bytes that lead to them, one move at a time, until one is a goal: no plan
// moves fewer bytes.
func (b *board) search() (*Plan, error) {
	base, all := len(b.nodes)+1, 1
	var loose []int // shards that may move
	for s := range b.shards {
		if !b.shards[s].Pinned {
			loose = append(loose, s)
			all *= base
		}
	}
	groups := b.groups()
	cost, from := make([]int64, all), make([]int32, all)
	for i := range cost {
		cost[i] = math.MaxInt64
	}
	start, power := 0, make([]int, len(loose))
	for i, p := 0, 1; i < len(loose); i++ {
		power[i] = p
		start += (b.on[loose[i]] + 1) * p
		p *= base
	}
	cost[start], from[start] = 0, -1
	q := &queue{{0, 0, int32(start)}}
	on, load := slices.Clone(b.on), make([]int64, len(b.nodes))
	for q.Len() > 0 {
		x := heap.Pop(q).(visit)
		if x.cost != cost[x.at] {
			continue
		}
		b.breathe()
		clear(load)
		for i, s := range loose {
			on[s] = int(x.at)/power[i]%base - 1
		}
		for s := range on {
			if on[s] != nowhere {
				load[on[s]] += b.shards[s].Bytes
			}
		}
		if b.goal(on, load, groups) {
			return b.trace(int(x.at), from, loose, power, base, x.cost), nil
		}
		for i, s := range loose {
			for n := range b.nodes {
				if n == on[s] || !b.may(s, n) || load[n]+b.shards[s].Bytes > b.nodes[n].Capacity {
					continue
				}
				to := int(x.at) + (n-on[s])*power[i]
				if c := x.cost + b.shards[s].Bytes; c < cost[to] {
					cost[to], from[to] = c, x.at
					heap.Push(q, visit{c, x.moves + 1, int32(to)})
				}
			}
		}
	}
	// there is none: whether of no room for what is wanted or of no way there, the rules tell
	if goal, err := b.place(); err != nil {
		return nil, err
	} else if _, err := b.order(goal); err != nil {
		return nil, err
	}
	return nil, &BalanceError{Stated: b.Slack}
}

func (b *board) goal(on []int, load []int64, groups map[string][]int) bool {
	for s, n := range on {
		if n == nowhere || !b.may(s, n) || b.want[s] != nowhere && b.want[s] != n || !b.apart(groups, on, s, n) {
			return false
		}
	}
	for n := range load {
		if load[n] > b.most[n] {
			return false
		}
	}
	return true
}

// trace makes a plan of the way to a placement; moves that have room together share a step.
func (b *board) trace(at int, from []int32, loose, power []int, base int, bytes int64) *Plan {
	var way []int
	for ; at >= 0; at = int(from[at]) {
		way = append(way, at)
	}
	slices.Reverse(way)
	w := &state{board: b, on: slices.Clone(b.on), load: slices.Clone(b.load), plan: &Plan{LowerBoundBytes: b.least(), Optimal: true, Bytes: bytes}}
	final := map[int]int{}
	for i, s := range loose {
		final[s] = way[len(way)-1]/power[i]%base - 1
	}
	var step []Move
	moving, parts, coming := map[int]bool{}, make([]int, len(b.nodes)), make([]int64, len(b.nodes))
	leaving := make([]int64, len(b.nodes))
	end := func() {
		if len(step) > 0 {
			w.plan.Steps = append(w.plan.Steps, step)
		}
		for n := range w.load {
			w.load[n] += coming[n] - leaving[n]
		}
		step = nil
		clear(moving)
		clear(parts)
		clear(coming)
		clear(leaving)
	}
	for k := 1; k < len(way); k++ {
		for i, s := range loose {
			to := way[k]/power[i]%base - 1
			if way[k-1]/power[i]%base-1 == to {
				continue
			}
			full := func(n int) bool { return n != nowhere && parts[n] >= b.PerNode }
			if moving[s] || len(step) >= b.InAll || full(to) || full(w.on[s]) || w.load[to]+coming[to]+b.shards[s].Bytes > b.nodes[to].Capacity {
				end()
			}
			step = append(step, w.move(s, to))
			moving[s] = true
			coming[to] += b.shards[s].Bytes
			if parts[to]++; w.on[s] != nowhere {
				parts[w.on[s]]++
				leaving[w.on[s]] += b.shards[s].Bytes
			}
			if w.on[s] = to; to != final[s] {
				w.plan.IntermediateMoves++
			}
		}
	}
	end()
	return w.plan
}

type visit struct {
	cost  int64
	moves int32
	at    int32
}

// queue gives the cheapest first, and of these the one with the fewest moves.
type queue []visit

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].cost < q[j].cost || q[i].cost == q[j].cost && q[i].moves < q[j].moves
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(visit)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}
