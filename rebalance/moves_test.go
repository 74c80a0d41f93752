package rebalance

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

var usual = Terms{Slack: 0.1, PerNode: 2, InAll: 8, Exact: 1 << 16}

// wrong carries a plan out and tells what is not as it has to be: a node over its room, copies under way included, too many moves at
// once, bytes that do not add up, a shard that is not where it is to be, loads that are not even.
func wrong(inv *Inventory, t Terms, p *Plan) string {
	on, load, most := map[int]string{}, map[string]int64{}, map[string]int64{}
	nodes, shards := map[string]Node{}, map[int]Shard{}
	weights, total, free, wanted := 0.0, int64(0), false, map[string]int64{}
	for _, n := range inv.Nodes {
		nodes[n.Name] = n
		if !n.Draining {
			weights += max(n.Weight, 1)
		}
	}
	for _, s := range inv.Shards {
		shards[s.ID], on[s.ID] = s, s.Source
		load[s.Source] += s.Bytes
		total += s.Bytes
		free = free || s.Target == "" && !s.Pinned
		if s.Pinned {
			wanted[s.Source] += s.Bytes
		} else if s.Target != "" {
			wanted[s.Target] += s.Bytes
		}
	}
	sum := int64(0)
	for i, step := range p.Steps {
		parts, coming, moving := map[string]int{}, map[string]int64{}, map[int]bool{}
		if len(step) > t.InAll || len(step) == 0 {
			return fmt.Sprintf("step %d has %d moves", i, len(step))
		}
		for _, m := range step {
			s, ok := shards[m.Shard]
			if !ok || m.From != on[m.Shard] || m.Bytes != s.Bytes || moving[m.Shard] || nodes[m.To].Draining || nodes[m.To].Name == "" || s.Pinned {
				return fmt.Sprintf("step %d: %+v, and it is on %q", i, m, on[m.Shard])
			}
			moving[m.Shard] = true
			coming[m.To] += m.Bytes
			parts[m.To]++
			if m.From != "" {
				parts[m.From]++
			}
			sum += m.Bytes
		}
		for n, c := range coming {
			if load[n]+c > nodes[n].Capacity {
				return fmt.Sprintf("step %d: %s has %d and gets %d, with room for %d", i, n, load[n], c, nodes[n].Capacity)
			}
		}
		for n, k := range parts {
			if k > t.PerNode {
				return fmt.Sprintf("step %d: %s has a part in %d moves", i, n, k)
			}
		}
		for _, m := range step {
			load[on[m.Shard]] -= m.Bytes
			on[m.Shard] = m.To
			load[m.To] += m.Bytes
		}
	}
	for _, s := range inv.Shards {
		at := on[s.ID]
		if at == "" || nodes[at].Draining || s.Target != "" && at != s.Target || len(s.Zones) > 0 && !slices.Contains(s.Zones, nodes[at].Zone) {
			return fmt.Sprintf("shard %d ends at %q", s.ID, at)
		}
		if s.AntiAffinity == "" {
			continue
		}
		for _, o := range inv.Shards {
			if o.AntiAffinity == s.AntiAffinity && o.ID != s.ID && nodes[on[o.ID]].Zone == nodes[at].Zone {
				return fmt.Sprintf("shards %d and %d end in one zone", s.ID, o.ID)
			}
		}
	}
	for _, n := range inv.Nodes {
		most[n.Name] = n.Capacity
		if free {
			most[n.Name] = min(n.Capacity, max(int64(float64(total)*max(n.Weight, 1)/weights*(1+t.Slack)), wanted[n.Name]))
		}
		if load[n.Name] > most[n.Name] && !n.Draining {
			return fmt.Sprintf("%s ends with %d of %d", n.Name, load[n.Name], most[n.Name])
		}
	}
	if sum != p.Bytes || p.Bytes < p.LowerBoundBytes {
		return fmt.Sprintf("%d bytes moved, %d said, %d at least", sum, p.Bytes, p.LowerBoundBytes)
	}
	return ""
}

// drawn is a small case: nodes full to a byte and over, shards that want a node, are pinned, are nowhere, have none.
func drawn(r *rand.Rand) *Inventory {
	inv := &Inventory{}
	nodes, shards := 1+r.IntN(4), r.IntN(9)
	wants := r.IntN(3) == 0
	for i := range nodes {
		inv.Nodes = append(inv.Nodes, Node{Name: fmt.Sprint("c", i), Zone: fmt.Sprint("z", i%2), Capacity: int64(4 + r.IntN(24)), Draining: r.IntN(6) == 0})
	}
	for i := range shards {
		s := Shard{ID: i, Bytes: int64(r.IntN(9)), Source: inv.Nodes[r.IntN(nodes)].Name}
		switch r.IntN(10) {
		case 0:
			s.Source = ""
		case 1:
			s.Pinned = true
		case 2:
			s.Zones = []string{"z0"}
		case 3:
			s.AntiAffinity = "g"
		}
		if n := inv.Nodes[r.IntN(nodes)]; wants && !s.Pinned && len(s.Zones) == 0 && !n.Draining {
			s.Target = n.Name
		}
		inv.Shards = append(inv.Shards, s)
	}
	return inv
}

// exhaustive relaxes all placements until nothing changes, and tells the fewest bytes that lead to a goal; -1: none does.
func exhaustive(inv *Inventory, t Terms) int64 {
	n, k := len(inv.Nodes), len(inv.Shards)
	at := map[string]int{"": n}
	weights, total, free := 0.0, int64(0), false
	wanted := make([]int64, n)
	for i, x := range inv.Nodes {
		at[x.Name] = i
		if !x.Draining {
			weights++
		}
	}
	for _, s := range inv.Shards {
		total += s.Bytes
		if s.Pinned {
			wanted[at[s.Source]] += s.Bytes
		} else if s.Target != "" {
			wanted[at[s.Target]] += s.Bytes
		} else {
			free = true
		}
	}
	cost := map[[8]int8]int64{}
	var start [8]int8
	for i, s := range inv.Shards {
		start[i] = int8(at[s.Source])
	}
	cost[start] = 0
	work := [][8]int8{start}
	best := int64(-1)
	for len(work) > 0 {
		x := work[0]
		work = work[1:]
		load := make([]int64, n+1)
		for i := range k {
			load[x[i]] += inv.Shards[i].Bytes
		}
		good := true
		for i, s := range inv.Shards {
			y := int(x[i])
			good = good && y < n && !inv.Nodes[y].Draining && (s.Target == "" || at[s.Target] == y) && (len(s.Zones) == 0 || slices.Contains(s.Zones, inv.Nodes[y].Zone))
			for j, o := range inv.Shards {
				good = good && (j == i || s.AntiAffinity == "" || o.AntiAffinity != s.AntiAffinity || x[j] == int8(n) || y == n || inv.Nodes[y].Zone != inv.Nodes[x[j]].Zone)
			}
		}
		for i, node := range inv.Nodes {
			most := node.Capacity
			if free {
				most = min(most, max(int64(float64(total)/max(weights, 1e-12)*(1+t.Slack)), wanted[i]))
			}
			good = good && (node.Draining && load[i] == 0 || !node.Draining && load[i] <= most)
		}
		if good && (best < 0 || cost[x] < best) {
			best = cost[x]
		}
		for i, s := range inv.Shards {
			for to, node := range inv.Nodes {
				if s.Pinned || node.Draining || int(x[i]) == to || load[to]+s.Bytes > node.Capacity || len(s.Zones) > 0 && !slices.Contains(s.Zones, node.Zone) {
					continue
				}
				y := x
				y[i] = int8(to)
				if c, ok := cost[y]; !ok || cost[x]+s.Bytes < c {
					cost[y] = cost[x] + s.Bytes
					work = append(work, y)
				}
			}
		}
	}
	return best
}

// A plan moves as few bytes as any that there is, and there is one just where there is one: against a search through all placements.
// What the rules alone find is sound, and moves a little more. 10,000 cases: WOODPROXY_CASES=10000.
func TestFewestBytes(t *testing.T) {
	cases, seed := 250, uint64(1)
	if n, err := strconv.Atoi(os.Getenv("WOODPROXY_CASES")); err == nil {
		cases = n
	}
	r, found, refused, same, ruled := rand.New(rand.NewPCG(seed, 7)), 0, 0, 0, 0
	more, all := int64(0), int64(0)
	for i := range cases {
		inv := drawn(r)
		terms := usual
		terms.Exact = 1 << 20
		best := exhaustive(inv, terms)
		p, err := Make(inv, terms)
		if err != nil {
			if best >= 0 {
				t.Fatalf("case %d: %v, and %d bytes would do: %+v", i, err, best, inv)
			}
			if refused++; !typed(err) {
				t.Fatalf("%T", err)
			}
			continue
		}
		if what := wrong(inv, terms, p); what != "" || p.Bytes != best {
			t.Fatalf("case %d: %s; %d bytes, the fewest are %d: %+v %+v", i, what, p.Bytes, best, inv, p)
		}
		found++
		terms.Exact = 0
		if p, err := Make(inv, terms); err == nil {
			ruled++
			if what := wrong(inv, terms, p); what != "" {
				t.Fatalf("case %d by rules: %s: %+v %+v", i, what, inv, p)
			}
			same += yes(p.Bytes == best)
			more, all = more+p.Bytes, all+best
		} else if !typed(err) {
			t.Fatalf("%T", err)
		}
	}
	t.Logf("%d planned and %d refused rightly; by rules alone %d, %d of them with as few bytes, %.3f times as many together", found, refused, ruled, same, float64(more)/float64(max(all, 1)))
	if found < cases/4 || refused < cases/10 || ruled < found*8/10 {
		t.Error("the cases are not what they should be, or the rules find too little")
	}
}

func yes(is bool) int {
	if is {
		return 1
	}
	return 0
}

func typed(err error) bool {
	var a *RoomError
	var b *BalanceError
	var c *ShardError
	var d *StuckError
	var e *InventoryError
	return errors.As(err, &a) || errors.As(err, &b) || errors.As(err, &c) || errors.As(err, &d) || errors.As(err, &e)
}

// A planted fault is found: a plan that leaves out that a copy is on both nodes while it goes, or moves more than it says.
func TestWrongFires(t *testing.T) {
	inv := &Inventory{
		Nodes:  []Node{{Name: "a", Capacity: 10}, {Name: "b", Capacity: 10}},
		Shards: []Shard{{ID: 1, Bytes: 8, Source: "a", Target: "b"}, {ID: 2, Bytes: 8, Source: "b", Target: "a"}},
	}
	swap := &Plan{Steps: [][]Move{{{1, "a", "b", 8}, {2, "b", "a", 8}}}, Bytes: 16, LowerBoundBytes: 16}
	if wrong(inv, usual, swap) == "" {
		t.Error("an exchange of two without room passes")
	}
	var stuck *StuckError
	if _, err := Make(inv, usual); !errors.As(err, &stuck) || stuck.Shards != 2 || len(stuck.Lacks) != 2 || stuck.Lacks[0].Bytes != 6 {
		t.Errorf("%v", err)
	}
	inv.Nodes = append(inv.Nodes, Node{Name: "c", Capacity: 8})
	for _, exact := range []int{0, 1 << 16} { // by a third node
		terms := usual
		terms.Exact = exact
		p, err := Make(inv, terms)
		if err != nil || p.Bytes != 24 || p.IntermediateMoves != 1 || wrong(inv, terms, p) != "" {
			t.Errorf("%+v %v", p, err)
		}
	}
}

// What can't be done is an error that says what is lacking, and where.
func TestRefused(t *testing.T) {
	two := []Node{{Name: "a", Capacity: 10, Zone: "x"}, {Name: "b", Capacity: 10, Zone: "y"}}
	plan := func(nodes []Node, shards ...Shard) error {
		_, err := Make(&Inventory{Nodes: nodes, Shards: shards}, usual)
		return err
	}
	var room *RoomError
	if err := plan(two, Shard{ID: 1, Bytes: 10, Source: "a"}, Shard{ID: 2, Bytes: 11}); err == nil {
		t.Error("21 bytes fit into 20")
	}
	if err := plan(two, Shard{ID: 1, Bytes: 6, Source: "a", Target: "b"}, Shard{ID: 2, Bytes: 6, Source: "b", Target: "b"}); !errors.As(err, &room) || room.Lacks[0] != (Lack{"b", 2}) {
		t.Errorf("%v", err)
	}
	var shard *ShardError
	if err := plan(two, Shard{ID: 1, Bytes: 11}); !errors.As(err, &shard) || shard.Largest != 10 || shard.Pinned {
		t.Errorf("%v", err)
	}
	if err := plan([]Node{{Name: "a", Capacity: 10, Draining: true}, {Name: "b", Capacity: 10}}, Shard{ID: 1, Bytes: 1, Source: "a", Pinned: true}); !errors.As(err, &shard) || !shard.Pinned {
		t.Errorf("%v", err)
	}
	var balance *BalanceError
	if err := plan(two, Shard{ID: 1, Bytes: 9, Source: "a"}, Shard{ID: 2, Bytes: 3, Source: "b"}); !errors.As(err, &balance) || balance.Needed <= 0.1 || balance.Needed > 1 {
		t.Errorf("%v", err)
	}
	var inventory *InventoryError
	for _, bad := range []Shard{{ID: 1, Source: "q"}, {ID: 1, Bytes: -1}, {ID: 1, Pinned: true}, {ID: 1, Target: "z"}} {
		if err := plan(two, bad); !errors.As(err, &inventory) || inventory.Where != "shards[0]" {
			t.Errorf("%+v: %v", bad, err)
		}
	}
	if err := plan([]Node{{Name: "a"}, {Name: "a"}}); !errors.As(err, &inventory) || inventory.Where != "nodes[1]" {
		t.Errorf("%v", err)
	}
	if p, err := Make(&Inventory{Nodes: two[:1], Shards: []Shard{{ID: 1, Source: "a"}}}, usual); err != nil || len(p.Steps) != 0 {
		t.Errorf("nothing to do: %+v %v", p, err)
	}
}

// large is a fleet whose nodes have so much room to spare: some leave, as many come, and what is on those that stay is uneven.
func large(nodes, shards int, spare float64, wants bool, seed uint64) *Inventory {
	r := rand.New(rand.NewPCG(seed, 11))
	inv := &Inventory{}
	sizes, total := make([]int64, shards), int64(0)
	for i := range sizes {
		sizes[i] = int64(1e6 * math.Exp(0.5*r.NormFloat64()))
		total += sizes[i]
	}
	stay := nodes - nodes/10
	room := int64(float64(total) / float64(stay) * (1 + spare))
	for i := range nodes {
		inv.Nodes = append(inv.Nodes, Node{Name: fmt.Sprint("c", i), Zone: fmt.Sprint("z", i%4), Capacity: room, Draining: i >= stay})
	}
	load := make([]int64, nodes)
	place := func(size int64, from, to int) int { // by chance, where there is room
		n := from + r.IntN(to-from)
		for range 20 {
			if load[n]+size > room {
				n = from + r.IntN(to-from)
			}
		}
		for k := from; k < to && load[n]+size > room; k++ { // the emptiest, if need be beyond its room
			if load[k] < load[n] {
				n = k
			}
		}
		load[n] += size
		return n
	}
	for i, size := range sizes { // the first tenth have come anew, and are empty
		inv.Shards = append(inv.Shards, Shard{ID: i, Bytes: size, Source: inv.Nodes[place(size, nodes/10, nodes)].Name})
	}
	if wants {
		clear(load)
		order := r.Perm(shards)
		slices.SortStableFunc(order, func(a, b int) int { return int(sizes[b] - sizes[a]) })
		for _, i := range order {
			best := 0
			for k := range 3 { // of three the emptiest
				if n := r.IntN(stay); k == 0 || load[n] < load[best] {
					best = n
				}
			}
			if on := inv.Shards[i].Source; r.IntN(4) > 0 { // most stay
				for n := range stay {
					if inv.Nodes[n].Name == on && load[n]+sizes[i] <= room {
						best = n
					}
				}
			}
			if load[best]+sizes[i] > room {
				for n := range stay {
					if load[n] < load[best] {
						best = n
					}
				}
			}
			load[best] += sizes[i]
			inv.Shards[i].Target = inv.Nodes[best].Name
		}
	}
	return inv
}

// At full size a plan is sound, made in the stated time, and within a twentieth of the bound where a tenth of room is to spare.
func TestLarge(t *testing.T) {
	type size struct {
		nodes, shards int
		spare, slack  float64
		over          float64
	}
	sizes := []size{{60, 1200, 0.10, 0.08, 1.05}, {60, 1200, 0.03, 0.025, 1.2}}
	if os.Getenv("WOODPROXY_MOVES") != "" {
		sizes = append(sizes, size{200, 4096, 0.10, 0.08, 1.05}, size{200, 4096, 0.03, 0.025, 1.2}, size{200, 4096, 0.01, 0.008, 2}, size{500, 16384, 0.10, 0.08, 1.05}, size{500, 16384, 0.03, 0.025, 1.2}, size{1000, 65536, 0.10, 0.08, 1.05})
	}
	for _, c := range sizes {
		for _, wants := range []bool{false, true} {
			inv := large(c.nodes, c.shards, c.spare, wants, 1)
			terms := Terms{Slack: c.slack, PerNode: 2, InAll: 64}
			began := time.Now()
			p, err := Make(inv, terms)
			took := time.Since(began)
			if err != nil {
				if !typed(err) || c.spare >= 0.1 {
					t.Errorf("%d nodes, %v to spare, wants %v: %v", c.nodes, c.spare, wants, err)
				}
				t.Logf("%d nodes, %v to spare, wants %v: %v", c.nodes, c.spare, wants, err)
				continue
			}
			if what := wrong(inv, terms, p); what != "" {
				t.Errorf("%s", what)
			}
			t.Logf("%d nodes, %d shards, %v to spare, wants %v: %.4f of the bound, %d steps, %d aside, %v", c.nodes, c.shards, c.spare, wants,
				float64(p.Bytes)/float64(p.LowerBoundBytes), len(p.Steps), p.IntermediateMoves, took)
			if float64(p.Bytes) > c.over*float64(p.LowerBoundBytes) {
				t.Errorf("%d bytes, %d at least", p.Bytes, p.LowerBoundBytes)
			}
		}
	}
}

// The bound is what a linear program finds: parts of shards may move, loads keep to what nodes may have, bytes moved are the fewest.
func TestLeast(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 3))
	for range 20 {
		inv := large(10, 24, 0.5, false, r.Uint64())
		terms := Terms{Slack: 0.3, PerNode: 2, InAll: 8}
		b, err := newProblem(inv, terms)
		if err != nil {
			t.Fatal(err)
		}
		// x[s,n]: part of a shard on a node that stays, and what is left of each of these
		n, k := 0, len(b.shards)
		for n < len(b.nodes) && !b.nodes[n].Draining { // those that leave come last
			n++
		}
		c := make([]float64, k*n+n)
		a, rhs := mat.NewDense(k+n, k*n+n, nil), make([]float64, k+n)
		for s := range k {
			for m := range n {
				if c[s*n+m] = float64(b.shards[s].Bytes) / 1e6; b.sourceNodes[s] == m {
					c[s*n+m] = 0
				}
				a.Set(s, s*n+m, 1)
				a.Set(k+m, s*n+m, float64(b.shards[s].Bytes)/1e6)
			}
			rhs[s] = 1
		}
		for m := range n {
			a.Set(k+m, k*n+m, 1)
			rhs[k+m] = float64(b.maxLoads[m]) / 1e6
		}
		best, _, err := lp.Simplex(c, a, rhs, 1e-9, nil)
		if err != nil {
			t.Fatal(err)
		}
		if got := float64(b.lowerBoundBytes()) / 1e6; math.Abs(got-best) > 1e-3*best+1e-4 {
			t.Errorf("%.4f, by the linear program %.4f", got, best)
		}
	}
}

// Every node is full to a byte, and all shards change places: with one shard's room elsewhere it goes, a few bytes over the fewest; with
// none it is refused, and says what would help.
func TestFullToAByte(t *testing.T) {
	for _, spare := range []int64{7, 6} {
		inv := &Inventory{}
		for n := range 20 {
			inv.Nodes = append(inv.Nodes, Node{Name: fmt.Sprint("c", n), Capacity: 70})
			for k := range 10 {
				inv.Shards = append(inv.Shards, Shard{ID: n*10 + k, Bytes: 7, Source: fmt.Sprint("c", n), Target: fmt.Sprint("c", (n+1+k%4)%20)})
			}
		}
		inv.Nodes = append(inv.Nodes, Node{Name: "free", Capacity: spare})
		terms := Terms{PerNode: 2, InAll: 32}
		p, err := Make(inv, terms)
		var stuck *StuckError
		if spare < 7 {
			if !errors.As(err, &stuck) || stuck.Shards != 200 || stuck.Lacks[0].Bytes != 7 {
				t.Errorf("%v", err)
			}
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		if what := wrong(inv, terms, p); what != "" || p.Bytes > p.LowerBoundBytes*6/5 {
			t.Errorf("%s; %d bytes, %d at least, %d aside", what, p.Bytes, p.LowerBoundBytes, p.IntermediateMoves)
		}
		t.Logf("%d bytes, %d at least, %d aside, %d steps", p.Bytes, p.LowerBoundBytes, p.IntermediateMoves, len(p.Steps))
	}
}

// Baselines of our own beside the plan: the target's moves all at once put nodes over their rooms, by size alone it takes more steps
// or more bytes.
func TestBaselines(t *testing.T) {
	inv := large(60, 1200, 0.03, true, 2)
	load, room, most := map[string]int64{}, inv.Nodes[0].Capacity, int64(0)
	for _, s := range inv.Shards {
		load[s.Source] += s.Bytes
		if s.Target != s.Source {
			load[s.Target] += s.Bytes
		}
	}
	for _, l := range load {
		most = max(most, l)
	}
	if p, err := Make(inv, Terms{PerNode: 2, InAll: 64}); err != nil || most <= room {
		t.Errorf("%v; at once the fullest node has %d of %d", err, most, room)
	} else {
		t.Logf("at once the fullest node has %.2f of its room; planned never over 1, in %d steps", float64(most)/float64(room), len(p.Steps))
	}
}
