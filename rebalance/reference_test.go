package rebalance

import "slices"

// maxReferenceShards is the maximum number of shards that the reference search supports.
const maxReferenceShards = 8

// referenceState holds, by shard, the index of its node, or the number of nodes if the shard is unplaced.
type referenceState [maxReferenceShards]int8

// referenceSearch relaxes the costs of all placements until none can be lowered. It shares no code with the planner.
type referenceSearch struct {
	inventory *Inventory
	nodeIndex map[string]int
	maxLoads  []int64 // by node
	costs     map[referenceState]int64
}

// infeasible is the result of fewestBytes if no plan exists.
const infeasible = -1

// fewestBytes returns the fewest bytes that a plan for a small inventory migrates, or infeasible. It assumes that all node
// weights are 1.
func fewestBytes(inventory *Inventory, settings Settings) int64 {
	ref := newReferenceSearch(inventory, settings)
	start := ref.startState()
	ref.costs[start] = 0
	fewest := int64(infeasible)
	for queue := []referenceState{start}; len(queue) > 0; {
		state := queue[0]
		queue = queue[1:]
		loads := ref.loads(state)
		if ref.isFinal(state, loads) && (fewest == infeasible || ref.costs[state] < fewest) {
			fewest = ref.costs[state]
		}
		queue = append(queue, ref.relax(state, loads)...)
	}
	return fewest
}

func newReferenceSearch(inventory *Inventory, settings Settings) *referenceSearch {
	unplacedIndex := len(inventory.Nodes)
	ref := &referenceSearch{
		inventory: inventory, nodeIndex: map[string]int{"": unplacedIndex},
		costs: map[referenceState]int64{},
	}
	remaining := 0
	for i, node := range inventory.Nodes {
		ref.nodeIndex[node.Name] = i
		if !node.Draining {
			remaining++
		}
	}
	total, hasFreeShards, required := int64(0), false, make([]int64, len(inventory.Nodes))
	for _, shard := range inventory.Shards {
		total += shard.Bytes
		switch {
		case shard.Pinned:
			required[ref.nodeIndex[shard.Source]] += shard.Bytes
		case shard.Target != "":
			required[ref.nodeIndex[shard.Target]] += shard.Bytes
		default:
			hasFreeShards = true
		}
	}
	for i, node := range inventory.Nodes {
		maxLoad := node.Capacity
		if hasFreeShards {
			evenShare := float64(total) / max(float64(remaining), 1e-12)
			maxLoad = min(maxLoad, max(int64(evenShare*(1+settings.Slack)), required[i]))
		}
		ref.maxLoads = append(ref.maxLoads, maxLoad)
	}
	return ref
}

func (ref *referenceSearch) startState() (start referenceState) {
	for i, shard := range ref.inventory.Shards {
		start[i] = int8(ref.nodeIndex[shard.Source])
	}
	return start
}

// loads returns the bytes by node, followed by the bytes of the unplaced shards.
func (ref *referenceSearch) loads(state referenceState) []int64 {
	loads := make([]int64, len(ref.inventory.Nodes)+1)
	for i, shard := range ref.inventory.Shards {
		loads[state[i]] += shard.Bytes
	}
	return loads
}

// isFinal reports whether a state meets all constraints on the final state of a plan.
func (ref *referenceSearch) isFinal(state referenceState, loads []int64) bool {
	for i := range ref.inventory.Shards {
		if !ref.isFinalNode(state, i) {
			return false
		}
	}
	for i, node := range ref.inventory.Nodes {
		if node.Draining && loads[i] != 0 || !node.Draining && loads[i] > ref.maxLoads[i] {
			return false
		}
	}
	return true
}

// isFinalNode reports whether the node of a shard may be its final node.
func (ref *referenceSearch) isFinalNode(state referenceState, index int) bool {
	nodes, shard, at := ref.inventory.Nodes, ref.inventory.Shards[index], int(state[index])
	if at == len(nodes) || nodes[at].Draining || shard.Target != "" && ref.nodeIndex[shard.Target] != at ||
		len(shard.Zones) > 0 && !slices.Contains(shard.Zones, nodes[at].Zone) {
		return false
	}
	for i, other := range ref.inventory.Shards {
		if i != index && shard.AntiAffinity != "" && other.AntiAffinity == shard.AntiAffinity &&
			int(state[i]) != len(nodes) && nodes[state[i]].Zone == nodes[at].Zone {
			return false
		}
	}
	return true
}

// relax lowers the costs of the states that one migration leads to, and returns the states whose cost was lowered.
func (ref *referenceSearch) relax(state referenceState, loads []int64) []referenceState {
	var cheaper []referenceState
	for i, shard := range ref.inventory.Shards {
		for target, node := range ref.inventory.Nodes {
			if shard.Pinned || node.Draining || int(state[i]) == target ||
				loads[target]+shard.Bytes > node.Capacity ||
				len(shard.Zones) > 0 && !slices.Contains(shard.Zones, node.Zone) {
				continue
			}
			next, cost := state, ref.costs[state]+shard.Bytes
			next[i] = int8(target)
			if known, ok := ref.costs[next]; !ok || cost < known {
				ref.costs[next] = cost
				cheaper = append(cheaper, next)
			}
		}
	}
	return cheaper
}
