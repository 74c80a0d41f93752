package rebalance

import (
	"cmp"
	"math"
	"slices"
)

const (
	// No shard is evicted after assignmentsPerShard assignments for each initially waiting shard plus extraAssignments,
	// which matter in small inventories. Without this limit two shards could evict each other forever, because an evicted
	// shard waits for a node again.
	assignmentsPerShard = 4
	extraAssignments    = 64
	// evictionDiscount is the divisor of the cost of evicting a shard that has to migrate in any case.
	evictionDiscount = 4
	// maxReportedShortfalls is the maximum number of nodes that an error lists for a shard that fits no node.
	maxReportedShortfalls = 8
)

// slackIncrements are added to the configured slack, one at a time, to find a feasible slack.
var slackIncrements = []float64{0.01, 0.02, 0.05, 0.1, 0.2, 0.5}

// maxTriedSlack is the slack that is tried after all slackIncrements.
const maxTriedSlack = 1.0

// placement chooses the final node of each shard.
type placement struct {
	*problem
	finalNodes []int   // by shard: node index or unplaced
	finalLoads []int64 // by node: bytes assigned so far
	waiting    []int   // shards without a final node
}

// placeShards returns the final node of each shard. Each node retains as many bytes as its maximum load allows. Displaced
// shards are placed by best fit, the largest first. If a shard fits no node, a smaller shard is evicted for it.
func (p *problem) placeShards() ([]int, error) {
	pl := &placement{problem: p, finalNodes: slices.Clone(p.sourceNodes), finalLoads: make([]int64, len(p.nodes))}
	pl.assignRequired()
	pl.retain()
	if err := pl.assignWaiting(); err != nil {
		return nil, err
	}
	return pl.finalNodes, nil
}

func (pl *placement) assignRequired() {
	for shard, node := range pl.requiredNodes {
		if node != unplaced {
			pl.assign(shard, node)
		}
	}
}

// assign puts a shard on a node.
func (pl *placement) assign(shard, node int) {
	pl.finalNodes[shard] = node
	pl.finalLoads[node] += pl.shards[shard].Bytes
}

// retain divides the free shards of each node into shards that stay and shards that wait for another node.
func (pl *placement) retain() {
	candidates := make([][]int, len(pl.nodes))
	for shard := range pl.shards {
		if pl.requiredNodes[shard] != unplaced {
			continue
		}
		node := pl.finalNodes[shard]
		if node == unplaced || !pl.isAllowed(shard, node) || !pl.isSeparated(pl.finalNodes, shard, node) {
			pl.finalNodes[shard] = unplaced
			pl.waiting = append(pl.waiting, shard)
			continue
		}
		candidates[node] = append(candidates[node], shard)
	}
	for node, shards := range candidates {
		retained, displaced := pl.splitByCapacity(shards, pl.maxLoads[node]-pl.finalLoads[node])
		for _, shard := range retained {
			pl.finalLoads[node] += pl.shards[shard].Bytes
		}
		for _, shard := range displaced {
			pl.finalNodes[shard] = unplaced
		}
		pl.waiting = append(pl.waiting, displaced...)
		pl.yield()
	}
}

// assignWaiting assigns the shards that have no final node.
func (pl *placement) assignWaiting() error {
	slices.SortFunc(pl.waiting, pl.compareLargestFirst)
	maxAssignments := assignmentsPerShard*len(pl.waiting) + extraAssignments
	for assignments := 0; len(pl.waiting) > 0; assignments++ {
		shard := pl.waiting[0]
		pl.waiting = pl.waiting[1:]
		pl.yield()
		node := pl.bestFit(shard)
		if node == unplaced && assignments < maxAssignments {
			node = pl.evictFor(shard)
		}
		if node == unplaced {
			return pl.explainUnplaced(shard)
		}
		pl.assign(shard, node)
	}
	return nil
}

// bestFit returns the node that has the least capacity left after the shard is added, or unplaced if the shard fits no
// node. The shard's source takes precedence over the nodes after it, because a shard that stays migrates no bytes.
func (pl *placement) bestFit(shard int) int {
	best, leastLeft := unplaced, int64(math.MaxInt64)
	for node := range pl.nodes {
		left := pl.maxLoads[node] - pl.finalLoads[node] - pl.shards[shard].Bytes
		if left < 0 || left >= leastLeft ||
			!pl.isAllowed(shard, node) || !pl.isSeparated(pl.finalNodes, shard, node) {
			continue
		}
		best, leastLeft = node, left
		if node == pl.sourceNodes[shard] {
			break
		}
	}
	return best
}

// evictFor evicts a smaller shard to free capacity for a shard, and returns the node on which the capacity was freed, or
// unplaced if no eviction helps. The evicted shard waits for a node again.
func (pl *placement) evictFor(shard int) int {
	evicted := pl.cheapestEviction(shard)
	if evicted == unplaced {
		return unplaced
	}
	node := pl.finalNodes[evicted]
	pl.finalLoads[node] -= pl.shards[evicted].Bytes
	pl.finalNodes[evicted] = unplaced
	i, _ := slices.BinarySearchFunc(pl.waiting, evicted, pl.compareLargestFirst)
	pl.waiting = slices.Insert(pl.waiting, i, evicted)
	return node
}

// cheapestEviction returns the shard whose eviction frees enough capacity for a larger shard at the lowest cost. It
// returns unplaced if there is none.
func (pl *placement) cheapestEviction(shard int) int {
	best, leastCost := unplaced, int64(math.MaxInt64)
	for candidate := range pl.shards {
		node := pl.finalNodes[candidate]
		if node == unplaced || !pl.isEvictable(candidate, shard) {
			continue
		}
		cost := pl.shards[candidate].Bytes
		if pl.sourceNodes[candidate] != node {
			cost /= evictionDiscount
		}
		if cost < leastCost {
			best, leastCost = candidate, cost
		}
	}
	return best
}

// isEvictable reports whether candidate may be evicted and shard, which must be larger, may then take its node.
func (pl *placement) isEvictable(candidate, shard int) bool {
	node, freed, needed := pl.finalNodes[candidate], pl.shards[candidate].Bytes, pl.shards[shard].Bytes
	return pl.requiredNodes[candidate] == unplaced && freed < needed &&
		pl.isAllowed(shard, node) && pl.isSeparated(pl.finalNodes, shard, node) &&
		pl.maxLoads[node]-pl.finalLoads[node]+freed >= needed
}

// explainUnplaced returns the error for a shard that fits no node: a [*BalanceError] if a larger slack would help or no
// node lacks capacity, otherwise a [*CapacityError].
func (pl *placement) explainUnplaced(shard int) error {
	if slack, ok := pl.feasibleSlack(); ok {
		return &BalanceError{Slack: pl.settings.Slack, FeasibleSlack: slack}
	}
	var shortfalls []Shortfall
	for i := range pl.nodes {
		node, bytes := &pl.nodes[i], pl.shards[shard].Bytes
		if left := node.Capacity - pl.finalLoads[i]; left < bytes && pl.isAllowed(shard, i) {
			shortfalls = append(shortfalls, Shortfall{Node: node.Name, Bytes: bytes - left})
		}
	}
	if len(shortfalls) == 0 {
		return &BalanceError{Slack: pl.settings.Slack}
	}
	slices.SortStableFunc(shortfalls, func(x, y Shortfall) int { return cmp.Compare(x.Bytes, y.Bytes) })
	return &CapacityError{
		Shortfalls:    shortfalls[:min(len(shortfalls), maxReportedShortfalls)],
		NeededBytes:   pl.totalBytes(),
		CapacityBytes: pl.remainingCapacity(),
	}
}

// feasibleSlack returns a larger slack for which a placement is found. It reports false if no slack that is tried has a
// placement, or if the problem is itself a relaxed copy.
func (p *problem) feasibleSlack() (slack float64, ok bool) {
	if p.isRelaxed {
		return 0, false
	}
	var tried []float64
	for _, increment := range slackIncrements {
		tried = append(tried, p.settings.Slack+increment)
	}
	for _, slack := range append(tried, maxTriedSlack) {
		if slack <= p.settings.Slack {
			continue
		}
		relaxed := *p
		relaxed.settings.Slack, relaxed.isRelaxed = slack, true
		relaxed.setMaxLoads()
		if _, err := relaxed.placeShards(); err == nil {
			return slack, true
		}
	}
	return 0, false
}
