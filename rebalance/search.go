package rebalance

import (
	"container/heap"
	"math"
	"slices"
)

// noState is the predecessor of the start state.
const noState = -1

// search is a uniform-cost search over placements. It visits states in ascending order of the bytes migrated to reach them,
// one migration at a time. The first valid final state that it visits is therefore reached with the fewest bytes of all
// plans.
//
// A state is a placement of the movable shards, encoded as a number with one digit for each of them: the index of its
// node plus 1, or 0 if the shard is unplaced.
type search struct {
	*problem
	movable     []int   // shards that are not pinned, in order of ascending digits
	base        int     // number of values of a digit
	placeValues []int   // by movable shard: the place value of its digit
	costs       []int64 // by state: the fewest bytes found so far to reach it
	previous    []int32 // by state: the preceding state on that path
	queue       visitQueue

	nodeOf []int   // by shard: its node in the decoded state, or unplaced
	loads  []int64 // by node: its load in the decoded state
}

// searchPlan returns the plan that migrates the fewest bytes.
func (p *problem) searchPlan() (*Plan, error) {
	s := newSearch(p)
	if final, ok := s.run(); ok {
		return s.planTo(final), nil
	}
	// The search can't explain why there is no plan. The heuristics can: no placement, or no order of migrations.
	if _, err := p.heuristicPlan(); err != nil {
		return nil, err
	}
	return nil, &BalanceError{Slack: p.settings.Slack}
}

func newSearch(p *problem) *search {
	s := &search{
		problem: p,
		movable: p.movableShards(),
		base:    len(p.nodes) + 1,
		nodeOf:  slices.Clone(p.sourceNodes),
		loads:   make([]int64, len(p.nodes)),
	}
	states, start := 1, 0
	for _, shard := range s.movable {
		s.placeValues = append(s.placeValues, states)
		start += (p.sourceNodes[shard] + 1) * states
		states *= s.base
	}
	s.costs, s.previous = make([]int64, states), make([]int32, states)
	for state := range s.costs {
		s.costs[state] = math.MaxInt64
	}
	s.costs[start], s.previous[start] = 0, noState
	s.queue = visitQueue{{state: int32(start)}}
	return s
}

// run returns the first valid final state that it visits. It reports false if none can be reached.
func (s *search) run() (final int, ok bool) {
	for s.queue.Len() > 0 {
		next := heap.Pop(&s.queue).(visit)
		if next.cost != s.costs[next.state] {
			continue // a cheaper path to the state was found after this visit was queued
		}
		s.yield()
		s.decode(int(next.state))
		if s.isFinal() {
			return int(next.state), true
		}
		s.expand(next)
	}
	return 0, false
}

// nodeIn returns the node, or unplaced, of the movable shard with the given index in a state.
func (s *search) nodeIn(state, index int) int { return state/s.placeValues[index]%s.base - 1 }

// decode sets nodeOf and loads to those of a state.
func (s *search) decode(state int) {
	for i, shard := range s.movable {
		s.nodeOf[shard] = s.nodeIn(state, i)
	}
	clear(s.loads)
	for shard, node := range s.nodeOf {
		if node != unplaced {
			s.loads[node] += s.shards[shard].Bytes
		}
	}
}

// isFinal reports whether the decoded state meets all constraints on the final state of a plan.
func (s *search) isFinal() bool {
	for shard, node := range s.nodeOf {
		required := s.requiredNodes[shard]
		if node == unplaced || !s.isAllowed(shard, node) || required != unplaced && required != node ||
			!s.isSeparated(s.nodeOf, shard, node) {
			return false
		}
	}
	for node, load := range s.loads {
		if load > s.maxLoads[node] {
			return false
		}
	}
	return true
}

// expand queues the states that can be reached from the decoded state by one migration at a lower cost than known.
func (s *search) expand(from visit) {
	for i, shard := range s.movable {
		bytes := s.shards[shard].Bytes
		for node := range s.nodes {
			if node == s.nodeOf[shard] || !s.isAllowed(shard, node) || s.loads[node]+bytes > s.nodes[node].Capacity {
				continue
			}
			state := int(from.state) + (node-s.nodeOf[shard])*s.placeValues[i]
			if cost := from.cost + bytes; cost < s.costs[state] {
				s.costs[state], s.previous[state] = cost, from.state
				heap.Push(&s.queue, visit{cost: cost, migrations: from.migrations + 1, state: int32(state)})
			}
		}
	}
}

// planTo returns the plan of the path to a state. Consecutive migrations that may run concurrently share a step.
func (s *search) planTo(final int) *Plan {
	finalNodes := slices.Clone(s.sourceNodes)
	for i, shard := range s.movable {
		finalNodes[shard] = s.nodeIn(final, i)
	}
	sched := newSchedule(s.problem, finalNodes)
	sched.plan.Optimal = true
	current := newStep(sched)
	for _, t := range s.transfersTo(final) {
		if !current.isEmpty() && (current.includes(t.shard) || current.isFull() || !current.accepts(t)) {
			sched.apply(current)
			current = newStep(sched)
		}
		current.add(t)
	}
	if !current.isEmpty() {
		sched.apply(current)
	}
	return sched.plan
}

// transfersTo returns the migrations from the start to a state, in order.
func (s *search) transfersTo(final int) []transfer {
	var transfers []transfer
	for state := final; s.previous[state] != noState; state = int(s.previous[state]) {
		before := int(s.previous[state])
		for i, shard := range s.movable {
			if source, target := s.nodeIn(before, i), s.nodeIn(state, i); source != target {
				transfers = append(transfers, transfer{shard: shard, source: source, target: target})
			}
		}
	}
	slices.Reverse(transfers)
	return transfers
}
