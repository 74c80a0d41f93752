package rebalance

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// nowhere is where a shard is that no node has.
const nowhere = -1

// board is an inventory by numbers.
type board struct {
	Terms
	nodes   []Node
	shards  []Shard
	at      map[string]int
	on      []int   // by shard: node, or nowhere
	want    []int   // the same, nowhere: anywhere
	load    []int64 // by node
	wanted  []int64 // by node: what it is to have in any case,
	most    []int64 // and what it may have in the end
	free    bool    // some shards want no node
	relaxed bool    // with more slack than stated, to see what would help
	ops     int
}

// breathe lets others have the processor.
func (b *board) breathe() {
	if b.ops++; b.ops%256 == 0 && b.Breathe != nil {
		b.Breathe()
	}
}

// Make plans. The error is of one of this package's types.
func Make(inv *Inventory, t Terms) (*Plan, error) {
	b, err := newBoard(inv, t)
	if err != nil {
		return nil, err
	}
	if n, free := len(b.nodes)+1, 0; t.Exact > 0 {
		for s := range b.shards {
			if !b.shards[s].Pinned {
				free++
			}
		}
		if math.Pow(float64(n), float64(free)) <= float64(t.Exact) {
			return b.search()
		}
	}
	return b.byRules()
}

// byRules places, and finds an order.
func (b *board) byRules() (*Plan, error) {
	goal, err := b.place()
	if err != nil {
		return nil, err
	}
	return b.order(goal)
}

func newBoard(inv *Inventory, t Terms) (*board, error) {
	b := &board{Terms: t, nodes: inv.Nodes, shards: inv.Shards, at: make(map[string]int, len(inv.Nodes))}
	b.PerNode, b.InAll = max(b.PerNode, 1), max(b.InAll, 1)
	at := b.at
	for i, n := range inv.Nodes {
		where := fmt.Sprintf("nodes[%d]", i)
		if _, ok := at[n.Name]; ok || n.Name == "" {
			return nil, &InventoryError{where, fmt.Sprintf("name %q is missing or doubled", n.Name)}
		}
		if n.Capacity < 0 || !(n.Weight >= 0 && n.Weight < 1e9) {
			return nil, &InventoryError{where, fmt.Sprintf("room %d or weight %v is out of its range", n.Capacity, n.Weight)}
		}
		at[n.Name] = i
	}
	b.load, b.wanted = make([]int64, len(b.nodes)), make([]int64, len(b.nodes))
	total := int64(0)
	seen := make(map[int]bool, len(inv.Shards))
	for i, s := range inv.Shards {
		where := fmt.Sprintf("shards[%d]", i)
		if seen[s.ID] || s.Bytes < 0 || s.Bytes > 1<<50 {
			return nil, &InventoryError{where, fmt.Sprintf("id %d is doubled, or %d bytes are out of range", s.ID, s.Bytes)}
		}
		seen[s.ID] = true
		on, want := nowhere, nowhere
		for _, x := range []struct {
			name string
			to   *int
		}{{s.Source, &on}, {s.Target, &want}} {
			if x.name != "" {
				n, ok := at[x.name]
				if !ok {
					return nil, &InventoryError{where, fmt.Sprintf("no node %q", x.name)}
				}
				*x.to = n
			}
		}
		if s.Pinned && on == nowhere {
			return nil, &InventoryError{where, "pinned, and nowhere"}
		}
		if s.Pinned && (b.nodes[on].Draining || want != nowhere && want != on || !s.allowsZone(b.nodes[on].Zone)) {
			return nil, &ShardError{Shard: s.ID, Bytes: s.Bytes, Pinned: true}
		}
		if want != nowhere && (b.nodes[want].Draining || !s.allowsZone(b.nodes[want].Zone)) {
			return nil, &InventoryError{where, fmt.Sprintf("wants %q, which leaves or is in a zone that it may not be in", s.Target)}
		}
		if s.Pinned {
			want = on
		}
		if total += s.Bytes; want != nowhere {
			b.wanted[want] += s.Bytes
		} else {
			b.free = true
		}
		if on != nowhere {
			b.load[on] += s.Bytes
		}
		b.on, b.want = append(b.on, on), append(b.want, want)
	}
	b.bound()
	return b, b.fits(total)
}

// bound settles what each node may have in the end.
func (b *board) bound() {
	total, weights := int64(0), 0.0
	for i := range b.shards {
		total += b.shards[i].Bytes
	}
	for i := range b.nodes {
		if !b.nodes[i].Draining {
			weights += b.nodes[i].effectiveWeight()
		}
	}
	b.most = make([]int64, len(b.nodes))
	for i := range b.nodes {
		n := &b.nodes[i]
		switch even := float64(total) * n.effectiveWeight() / max(weights, 1e-12); {
		case n.Draining:
		case b.free:
			b.most[i] = min(n.Capacity, max(int64(even*(1+b.Slack)), b.wanted[i]))
		default:
			b.most[i] = n.Capacity
		}
	}
}

// fits looks whether each shard fits somewhere, what wants a node fits there, and all together fit.
func (b *board) fits(total int64) error {
	room, stay, lacks := int64(0), int64(0), []Lack(nil)
	for i := range b.nodes {
		if n := &b.nodes[i]; !n.Draining {
			room, stay = room+n.Capacity, stay+1
			if b.wanted[i] > n.Capacity {
				lacks = append(lacks, Lack{n.Name, b.wanted[i] - n.Capacity})
			}
		}
	}
	for s := range b.shards {
		largest, ok := int64(0), false
		for i := range b.nodes {
			if b.may(s, i) {
				largest, ok = max(largest, b.nodes[i].Capacity), ok || b.shards[s].Bytes <= b.nodes[i].Capacity
			}
		}
		if !ok && len(lacks) == 0 {
			return &ShardError{Shard: b.shards[s].ID, Bytes: b.shards[s].Bytes, Largest: largest}
		}
	}
	if len(lacks) > 0 || total > room {
		if len(lacks) == 0 { // wherever they would go: by even parts
			for i := range b.nodes {
				if n := &b.nodes[i]; !n.Draining {
					lacks = append(lacks, Lack{n.Name, (total - room + stay - 1) / stay})
				}
			}
		}
		return &RoomError{Lacks: lacks, Needed: total, Room: room}
	}
	return nil
}

// may tells whether a shard may be on a node at all.
func (b *board) may(s, n int) bool { return !b.nodes[n].Draining && b.shards[s].allowsZone(b.nodes[n].Zone) }

// apart tells whether a shard may be on a node beside those of its group; where is each shard's node.
func (b *board) apart(groups map[string][]int, where []int, s, n int) bool {
	if g := b.shards[s].AntiAffinity; g != "" {
		for _, o := range groups[g] {
			if o != s && where[o] != nowhere && b.nodes[where[o]].Zone == b.nodes[n].Zone {
				return false
			}
		}
	}
	return true
}

func (b *board) groups() map[string][]int {
	g := map[string][]int{}
	for s := range b.shards {
		if a := b.shards[s].AntiAffinity; a != "" {
			g[a] = append(g[a], s)
		}
	}
	return g
}

// place finds where each shard is to be. From nodes that have too much as little as possible goes, by the largest part that
// may stay; what goes is placed by best fit, the largest first, and where one does not fit a smaller one makes room.
func (b *board) place() ([]int, error) {
	goal, load := slices.Clone(b.on), make([]int64, len(b.nodes))
	groups := b.groups()
	var pool []int
	by := make([][]int, len(b.nodes))
	for s := range b.shards {
		if b.want[s] != nowhere {
			goal[s] = b.want[s]
			load[goal[s]] += b.shards[s].Bytes
		}
	}
	for s := range b.shards {
		switch {
		case b.want[s] != nowhere:
		case goal[s] == nowhere || !b.may(s, goal[s]) || !b.apart(groups, goal, s, goal[s]):
			goal[s] = nowhere
			pool = append(pool, s)
		default:
			by[goal[s]] = append(by[goal[s]], s)
		}
	}
	for n, all := range by {
		kept, gone := b.stay(all, b.most[n]-load[n])
		for _, s := range kept {
			load[n] += b.shards[s].Bytes
		}
		for _, s := range gone {
			goal[s] = nowhere
		}
		pool = append(pool, gone...)
		b.breathe()
	}
	return b.fill(goal, load, groups, pool)
}

// units is how finely room is counted when it is looked for what stays: what is kept never has more than there is room for,
// and less by one in so many for each shard at most.
const units = 16384

// stay deals shards of a node into those that stay, as many bytes as there is room for, and those that go.
func (b *board) stay(all []int, room int64) (kept, gone []int) {
	sum := int64(0)
	for _, s := range all {
		sum += b.shards[s].Bytes
	}
	if sum <= room {
		return all, nil
	}
	if room <= 0 {
		for _, s := range all {
			if b.shards[s].Bytes == 0 {
				kept = append(kept, s)
			} else {
				gone = append(gone, s)
			}
		}
		return kept, gone
	}
	// the least that may go is what is not in the largest sum within the room: a knapsack, a bit for each sum
	const long = units/64 + 1
	size := func(s int) int { return int(math.Ceil(float64(b.shards[s].Bytes) / float64(room) * units)) }
	reach := make([][long]uint64, len(all)+1)
	reach[0][0] = 1
	for i, s := range all {
		reach[i+1] = reach[i]
		if n := size(s); n <= units {
			words, bits := n/64, uint(n%64)
			for k := long - 1; k >= words; k-- {
				v := reach[i][k-words] << bits
				if bits > 0 && k > words {
					v |= reach[i][k-words-1] >> (64 - bits)
				}
				reach[i+1][k] |= v
			}
		}
		if i%16 == 0 {
			b.breathe()
		}
	}
	best := 0
	for n := units; n > 0; n-- {
		if reach[len(all)][n/64]>>(n%64)&1 == 1 {
			best = n
			break
		}
	}
	for i := len(all) - 1; i >= 0; i-- {
		if reach[i][best/64]>>(best%64)&1 == 1 {
			gone = append(gone, all[i])
		} else {
			kept = append(kept, all[i])
			best -= size(all[i])
		}
	}
	return kept, gone
}

// fill places what has no node.
func (b *board) fill(goal []int, load []int64, groups map[string][]int, pool []int) ([]int, error) {
	largest := func(x, y int) int {
		return cmp.Or(cmp.Compare(b.shards[y].Bytes, b.shards[x].Bytes), cmp.Compare(x, y))
	}
	slices.SortFunc(pool, largest)
	first := len(pool)
	for tries := 0; len(pool) > 0; tries++ {
		s := pool[0]
		pool = pool[1:]
		b.breathe()
		best, tight := nowhere, int64(math.MaxInt64)
		for n := range b.nodes {
			if left := b.most[n] - load[n] - b.shards[s].Bytes; left >= 0 && left < tight && b.may(s, n) && b.apart(groups, goal, s, n) {
				// the node that has it, if that has room again, and else the one that it fills best
				best, tight = n, left
				if n == b.on[s] {
					break
				}
			}
		}
		if best == nowhere {
			if out := b.evict(goal, load, groups, s); out != nowhere && tries < 4*first+64 {
				best = goal[out]
				load[best] -= b.shards[out].Bytes
				goal[out] = nowhere
				i, _ := slices.BinarySearchFunc(pool, out, largest)
				pool = slices.Insert(pool, i, out)
			}
		}
		if best == nowhere {
			return nil, b.unfit(goal, load, s)
		}
		goal[s] = best
		load[best] += b.shards[s].Bytes
	}
	return goal, nil
}

// evict finds a shard that makes room for a larger one when it goes: one that has been moved already, or the smallest that will do.
func (b *board) evict(goal []int, load []int64, groups map[string][]int, s int) int {
	best, cost := nowhere, int64(math.MaxInt64)
	for o := range b.shards {
		n := goal[o]
		if n == nowhere || b.want[o] != nowhere || b.shards[o].Bytes >= b.shards[s].Bytes || !b.may(s, n) || !b.apart(groups, goal, s, n) ||
			b.most[n]-load[n]+b.shards[o].Bytes < b.shards[s].Bytes {
			continue
		}
		c := b.shards[o].Bytes
		if b.on[o] != n {
			c /= 4 // it moves in any case
		}
		if c < cost {
			best, cost = o, c
		}
	}
	return best
}

// unfit finds out why a shard has no place: with more slack there is one, or there is not.
func (b *board) unfit(goal []int, load []int64, s int) error {
	for _, slack := range []float64{b.Slack + 0.01, b.Slack + 0.02, b.Slack + 0.05, b.Slack + 0.1, b.Slack + 0.2, b.Slack + 0.5, 1} {
		if b.relaxed || slack <= b.Slack {
			continue
		}
		more := *b
		more.Terms.Slack, more.relaxed = slack, true
		more.bound()
		if _, err := more.place(); err == nil {
			return &BalanceError{Stated: b.Slack, Needed: slack}
		}
	}
	lacks := []Lack(nil)
	for n := range b.nodes {
		if left := b.nodes[n].Capacity - load[n]; b.may(s, n) && left < b.shards[s].Bytes {
			lacks = append(lacks, Lack{b.nodes[n].Name, b.shards[s].Bytes - left})
		}
	}
	if len(lacks) == 0 {
		return &BalanceError{Stated: b.Slack}
	}
	slices.SortStableFunc(lacks, func(x, y Lack) int { return cmp.Compare(x.Bytes, y.Bytes) })
	e := &RoomError{Lacks: lacks[:min(len(lacks), 8)]}
	for i := range b.shards {
		e.Needed += b.shards[i].Bytes
	}
	for i := range b.nodes {
		if !b.nodes[i].Draining {
			e.Room += b.nodes[i].Capacity
		}
	}
	return e
}
