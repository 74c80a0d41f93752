package rebalance

// minTotalWeight is the minimum divisor of the even share. It keeps the share finite if the nodes' weights add up to 0.
const minTotalWeight = 1e-12

// totalBytes returns the sum of the sizes of all shards.
func (p *problem) totalBytes() int64 {
	total := int64(0)
	for i := range p.shards {
		total += p.shards[i].Bytes
	}
	return total
}

// remainingCapacity returns the sum of the capacities in bytes of all nodes that are not draining.
func (p *problem) remainingCapacity() int64 {
	total := int64(0)
	for i := range p.nodes {
		if !p.nodes[i].Draining {
			total += p.nodes[i].Capacity
		}
	}
	return total
}

// setMaxLoads sets the maximum final load of each node: its even share plus the slack, or the load of the shards that are
// required there if that is larger, but at most its capacity. If all shards have a required node, the maximum is the
// capacity. The maximum of a draining node is 0.
func (p *problem) setMaxLoads() {
	total, totalWeight := p.totalBytes(), 0.0
	for i := range p.nodes {
		if !p.nodes[i].Draining {
			totalWeight += p.nodes[i].effectiveWeight()
		}
	}
	p.maxLoads = make([]int64, len(p.nodes))
	for i := range p.nodes {
		node := &p.nodes[i]
		switch evenShare := float64(total) * node.effectiveWeight() / max(totalWeight, minTotalWeight); {
		case node.Draining:
		case p.hasFreeShards:
			p.maxLoads[i] = min(node.Capacity, max(int64(evenShare*(1+p.settings.Slack)), p.requiredLoads[i]))
		default:
			p.maxLoads[i] = node.Capacity
		}
	}
}

// checkCapacity returns an error unless the required shards fit their nodes, each shard fits some node, and the total
// size of the shards is within the total capacity.
func (p *problem) checkCapacity() error {
	shortfalls := p.requiredShortfalls()
	if len(shortfalls) == 0 {
		if err := p.checkShardSizes(); err != nil {
			return err
		}
	}
	needed, capacity := p.totalBytes(), p.remainingCapacity()
	if len(shortfalls) == 0 && needed <= capacity {
		return nil
	}
	if len(shortfalls) == 0 {
		shortfalls = p.evenShortfalls(needed - capacity)
	}
	return &CapacityError{Shortfalls: shortfalls, NeededBytes: needed, CapacityBytes: capacity}
}

// requiredShortfalls returns the shortfalls of the nodes whose capacity is too small for the shards required there.
func (p *problem) requiredShortfalls() []Shortfall {
	var shortfalls []Shortfall
	for i := range p.nodes {
		node := &p.nodes[i]
		if !node.Draining && p.requiredLoads[i] > node.Capacity {
			shortfalls = append(shortfalls, Shortfall{Node: node.Name, Bytes: p.requiredLoads[i] - node.Capacity})
		}
	}
	return shortfalls
}

// evenShortfalls divides a number of missing bytes evenly among the nodes that are not draining, rounding up.
func (p *problem) evenShortfalls(missing int64) []Shortfall {
	var shortfalls []Shortfall
	for i := range p.nodes {
		if node := &p.nodes[i]; !node.Draining {
			shortfalls = append(shortfalls, Shortfall{Node: node.Name})
		}
	}
	count := int64(len(shortfalls))
	for i := range shortfalls {
		shortfalls[i].Bytes = (missing + count - 1) / count
	}
	return shortfalls
}

// checkShardSizes returns an error unless each shard fits at least one node that it may be on.
func (p *problem) checkShardSizes() error {
	for shard := range p.shards {
		largest, fits := int64(0), false
		for node := range p.nodes {
			if p.isAllowed(shard, node) {
				largest = max(largest, p.nodes[node].Capacity)
				fits = fits || p.shards[shard].Bytes <= p.nodes[node].Capacity
			}
		}
		if !fits {
			return &ShardPlacementError{ShardID: p.shards[shard].ID, Bytes: p.shards[shard].Bytes, LargestCapacity: largest}
		}
	}
	return nil
}

// lowerBoundBytes returns a lower bound of the bytes that any plan migrates: the size of the shards that can't stay on
// their source nodes, plus the bytes by which the shards that may stay or are required exceed the maximum loads.
func (p *problem) lowerBoundBytes() int64 {
	total := int64(0)
	staying := make([]int64, len(p.nodes)) // by node: bytes of the shards that may stay or are required there
	for shard := range p.shards {
		source, required, bytes := p.sourceNodes[shard], p.requiredNodes[shard], p.shards[shard].Bytes
		if source != unplaced && p.isAllowed(shard, source) && (required == unplaced || required == source) {
			staying[source] += bytes
			continue
		}
		total += bytes
		if required != unplaced {
			staying[required] += bytes
		}
	}
	for node := range p.nodes {
		total += max(staying[node]-p.maxLoads[node], 0)
	}
	return total
}
