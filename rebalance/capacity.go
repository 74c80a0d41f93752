package rebalance

// minTotalWeight keeps the even share finite where the nodes' weights add up to 0.
const minTotalWeight = 1e-12

// totalBytes returns the size of all shards.
func (p *problem) totalBytes() int64 {
	total := int64(0)
	for i := range p.shards {
		total += p.shards[i].Bytes
	}
	return total
}

// remainingCapacity returns the capacity in bytes of all nodes that are not draining.
func (p *problem) remainingCapacity() int64 {
	total := int64(0)
	for i := range p.nodes {
		if !p.nodes[i].Draining {
			total += p.nodes[i].Capacity
		}
	}
	return total
}

// setMaxLoads sets what each node may store in the end: its even share with the slack, within its capacity, and at
// least what has to end there. Where all shards have a required node, the capacity alone counts.
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

// checkCapacity checks that required shards fit their nodes, that each shard fits some node, and that all fit together.
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

// requiredShortfalls returns what nodes are short of for the shards that have to end there.
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

// evenShortfalls divides missing bytes evenly among the nodes that are not draining, rounded up.
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

// checkShardSizes checks that each shard fits at least one node that it may be on.
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

// lowerBoundBytes returns a number of bytes that no plan goes below: the shards that can't end where they are, and of
// the others what exceeds the maximum load of their nodes.
func (p *problem) lowerBoundBytes() int64 {
	total := int64(0)
	staying := make([]int64, len(p.nodes)) // by node: bytes that may end there without a further migration
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
