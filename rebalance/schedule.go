package rebalance

import (
	"cmp"
	"math"
	"slices"
)

const (
	// No intermediate migration is planned after stepsPerShard steps for each migrating shard plus extraSteps, which
	// matter in small inventories. Without this limit intermediate migrations could go on forever.
	stepsPerShard = 4
	extraSteps    = 64
	// insufficientPenalty is added to the cost in bytes of an intermediate migration that does not free enough
	// capacity by itself, so that a migration that frees enough is preferred.
	insufficientPenalty = 1 << 40
)

// schedule orders migrations into steps. It holds the state after the steps planned so far.
type schedule struct {
	*problem
	plan         *Plan
	finalNodes   []int   // by shard
	currentNodes []int   // by shard: node index or unplaced
	loads        []int64 // by node: bytes stored
	pending      []int   // shards that are not on their final nodes, the largest first
}

func newSchedule(p *problem, finalNodes []int) *schedule {
	s := &schedule{
		problem:      p,
		plan:         &Plan{LowerBoundBytes: p.lowerBoundBytes()},
		finalNodes:   finalNodes,
		currentNodes: slices.Clone(p.sourceNodes),
		loads:        slices.Clone(p.sourceLoads),
	}
	for shard := range finalNodes {
		if s.currentNodes[shard] != finalNodes[shard] {
			s.pending = append(s.pending, shard)
		}
	}
	slices.SortFunc(s.pending, s.compareLargestFirst)
	return s
}

// scheduleMigrations plans the migrations that bring each shard to its final node. Each step has as many direct
// migrations as the limits allow. If none is possible, one shard migrates to an intermediate node to free capacity.
func (p *problem) scheduleMigrations(finalNodes []int) (*Plan, error) {
	s := newSchedule(p, finalNodes)
	for stepsLeft := stepsPerShard*len(s.pending) + extraSteps; len(s.pending) > 0; stepsLeft-- {
		next := s.directStep()
		if next.isEmpty() {
			t, ok := s.intermediateTransfer()
			if !ok || stepsLeft < 0 {
				return nil, s.explainStuck()
			}
			next.add(t)
		}
		s.apply(next)
	}
	return s.plan, nil
}

// directStep returns a step of migrations to final nodes. Migrations from nodes that lack capacity for their pending shards
// have priority.
func (s *schedule) directStep() *step {
	next, excess := newStep(s), s.excessLoads()
	for _, urgent := range []bool{true, false} {
		for _, shard := range s.pending {
			s.yield()
			if next.isFull() {
				return next
			}
			t := transfer{shard: shard, source: s.currentNodes[shard], target: s.finalNodes[shard]}
			isUrgent := t.source != unplaced && excess[t.source] > 0
			if isUrgent == urgent && next.accepts(t) {
				next.add(t)
			}
		}
	}
	return next
}

// excessLoads returns, by node, the bytes by which the load would exceed the capacity if all pending shards arrived at
// once.
func (s *schedule) excessLoads() []int64 {
	excess := make([]int64, len(s.nodes))
	for node := range excess {
		excess[node] = s.loads[node] - s.nodes[node].Capacity
	}
	for _, shard := range s.pending {
		excess[s.finalNodes[shard]] += s.shards[shard].Bytes
	}
	return excess
}

// apply appends a step to the plan and updates the state.
func (s *schedule) apply(next *step) {
	migrations := make([]Migration, 0, len(next.transfers))
	displaced := false
	for _, t := range next.transfers {
		migrations = append(migrations, s.migrationOf(t))
		s.plan.Bytes += s.shards[t.shard].Bytes
		if t.target != s.finalNodes[t.shard] {
			s.plan.IntermediateMigrations++
		}
		if t.source == s.finalNodes[t.shard] { // the shard has to migrate back
			s.pending = append(s.pending, t.shard)
			displaced = true
		}
		if t.source != unplaced {
			s.loads[t.source] -= s.shards[t.shard].Bytes
		}
		s.loads[t.target] += s.shards[t.shard].Bytes
		s.currentNodes[t.shard] = t.target
	}
	s.plan.Steps = append(s.plan.Steps, migrations)
	s.pending = slices.DeleteFunc(s.pending, func(shard int) bool {
		return s.currentNodes[shard] == s.finalNodes[shard]
	})
	if displaced {
		slices.SortFunc(s.pending, s.compareLargestFirst)
	}
}

func (p *problem) migrationOf(t transfer) Migration {
	migration := Migration{Shard: p.shards[t.shard].ID, To: p.nodes[t.target].Name, Bytes: p.shards[t.shard].Bytes}
	if t.source != unplaced {
		migration.From = p.nodes[t.source].Name
	}
	return migration
}

// intermediateTransfer returns the migration with the lowest cost that frees capacity at a node with pending arrivals and
// whose target is not the shard's final node. It reports false if there is none.
func (s *schedule) intermediateTransfer() (best transfer, ok bool) {
	shortfalls := s.entryShortfalls()
	candidates := s.nodesByFreeCapacity()
	leastCost := int64(math.MaxInt64)
	for shard := range s.shards {
		source := s.currentNodes[shard]
		if source == unplaced || shortfalls[source] == math.MaxInt64 ||
			s.shards[shard].Pinned || s.shards[shard].Bytes == 0 {
			continue
		}
		cost := s.intermediateCost(shard, shortfalls[source])
		if cost >= leastCost {
			continue
		}
		if target := s.intermediateNode(shard, candidates); target != unplaced {
			best, leastCost, ok = transfer{shard: shard, source: source, target: target}, cost, true
		}
	}
	return best, ok
}

// entryShortfalls returns, by node, the additional capacity in bytes that the node needs to receive its smallest pending
// shard, or math.MaxInt64 if it has no pending shard.
func (s *schedule) entryShortfalls() []int64 {
	shortfalls := make([]int64, len(s.nodes))
	for node := range shortfalls {
		shortfalls[node] = math.MaxInt64
	}
	for _, shard := range s.pending {
		node := s.finalNodes[shard]
		shortfall := s.loads[node] + s.shards[shard].Bytes - s.nodes[node].Capacity
		shortfalls[node] = min(shortfalls[node], shortfall)
	}
	return shortfalls
}

// nodesByFreeCapacity returns the nodes that are not draining in order of descending free capacity.
func (s *schedule) nodesByFreeCapacity() []int {
	nodes := make([]int, 0, len(s.nodes))
	for node := range s.nodes {
		if !s.nodes[node].Draining {
			nodes = append(nodes, node)
		}
	}
	slices.SortStableFunc(nodes, func(x, y int) int { return cmp.Compare(s.freeCapacity(y), s.freeCapacity(x)) })
	return nodes
}

func (s *schedule) freeCapacity(node int) int64 { return s.nodes[node].Capacity - s.loads[node] }

// intermediateCost returns the cost in bytes of a shard's migration to an intermediate node. The shortfall is the capacity
// in bytes that has to be freed at the shard's source.
func (s *schedule) intermediateCost(shard int, shortfall int64) int64 {
	bytes := s.shards[shard].Bytes
	cost := bytes
	if s.finalNodes[shard] == s.currentNodes[shard] {
		cost *= 2 // the shard has to migrate back
	}
	if remaining := shortfall - bytes; remaining > 0 {
		cost += insufficientPenalty + remaining
	}
	return cost
}

// intermediateNode returns the first of the nodes that can store a shard temporarily, or unplaced if there is none.
func (s *schedule) intermediateNode(shard int, nodes []int) int {
	for _, node := range nodes {
		if node != s.currentNodes[shard] && node != s.finalNodes[shard] &&
			s.freeCapacity(node) >= s.shards[shard].Bytes && s.isAllowed(shard, node) {
			return node
		}
	}
	return unplaced
}

// explainStuck returns a [*ScheduleError] with the shortfalls that block the pending migrations.
func (s *schedule) explainStuck() error {
	stuck := &ScheduleError{PendingShards: len(s.pending)}
	for node, shortfall := range s.entryShortfalls() {
		if shortfall != math.MaxInt64 {
			stuck.Shortfalls = append(stuck.Shortfalls, Shortfall{Node: s.nodes[node].Name, Bytes: shortfall})
		}
	}
	slices.SortFunc(stuck.Shortfalls, func(x, y Shortfall) int {
		return cmp.Or(cmp.Compare(x.Bytes, y.Bytes), cmp.Compare(x.Node, y.Node))
	})
	return stuck
}
