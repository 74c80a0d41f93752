package rebalance

import (
	"cmp"
	"fmt"
)

const (
	// unplaced is the node index of a shard that is on no node, or whose final node may be any node.
	unplaced = -1
	// maxShardBytes is the maximum size of a shard. It keeps sums of shard sizes within an int64.
	maxShardBytes = 1 << 50
	// maxWeight is the exclusive upper limit of a node's weight.
	maxWeight = 1e9
	// yieldInterval is the number of units of work between two calls of Settings.Yield.
	yieldInterval = 256
)

// problem is a validated inventory with the settings. Nodes and shards are identified by their indexes in the inventory.
// All fields but yieldCount are constant after newProblem has returned.
type problem struct {
	settings Settings
	nodes    []Node
	shards   []Shard

	nodeIndexes   map[string]int   // by node name
	sourceNodes   []int            // by shard: the node that stores the shard, or unplaced
	requiredNodes []int            // by shard: the required final node, or unplaced if any node is allowed
	groups        map[string][]int // shards by anti-affinity group
	sourceLoads   []int64          // by node: bytes stored now
	requiredLoads []int64          // by node: bytes of the shards that are required there in the end
	maxLoads      []int64          // by node: maximum bytes stored in the end
	hasFreeShards bool             // at least one shard has no required node
	isRelaxed     bool             // the problem is a copy with a larger slack, made by feasibleSlack

	yieldCount int
}

// location holds the current node and the required final node of a shard, as node indexes or unplaced.
type location struct {
	source, required int
}

func newProblem(inventory *Inventory, settings Settings) (*problem, error) {
	settings.MaxMigrationsPerNode, settings.MaxMigrations =
		max(settings.MaxMigrationsPerNode, 1), max(settings.MaxMigrations, 1)
	p := &problem{
		settings:      settings,
		nodes:         inventory.Nodes,
		shards:        inventory.Shards,
		nodeIndexes:   make(map[string]int, len(inventory.Nodes)),
		groups:        map[string][]int{},
		sourceLoads:   make([]int64, len(inventory.Nodes)),
		requiredLoads: make([]int64, len(inventory.Nodes)),
	}
	if err := p.indexNodes(); err != nil {
		return nil, err
	}
	if err := p.indexShards(); err != nil {
		return nil, err
	}
	p.setMaxLoads()
	if err := p.checkCapacity(); err != nil {
		return nil, err
	}
	return p, nil
}

// indexNodes validates the nodes and fills nodeIndexes.
func (p *problem) indexNodes() error {
	for i := range p.nodes {
		node := &p.nodes[i]
		if _, ok := p.nodeIndexes[node.Name]; ok || node.Name == "" {
			return invalidEntry("nodes", i, "name %q is empty or a duplicate", node.Name)
		}
		// the negated condition also rejects NaN
		if node.Capacity < 0 || !(node.Weight >= 0 && node.Weight < maxWeight) {
			return invalidEntry("nodes", i, "room_bytes %d or weight %v is out of range", node.Capacity, node.Weight)
		}
		p.nodeIndexes[node.Name] = i
	}
	return nil
}

// indexShards validates the shards and fills the fields that depend on them.
func (p *problem) indexShards() error {
	seen := make(map[int]bool, len(p.shards))
	for i := range p.shards {
		shard := &p.shards[i]
		if seen[shard.ID] || shard.Bytes < 0 || shard.Bytes > maxShardBytes {
			return invalidEntry("shards", i, "id %d is a duplicate, or size of %d bytes is out of range", shard.ID, shard.Bytes)
		}
		seen[shard.ID] = true
		at, err := p.locate(i)
		if err != nil {
			return err
		}
		p.addShard(i, at)
	}
	return nil
}

// locate resolves the node names of a shard to indexes. It returns an error if a name is unknown or if the shard is not
// allowed on its required node.
func (p *problem) locate(shard int) (location, error) {
	s := &p.shards[shard]
	source, ok := p.resolveNode(s.Source)
	if !ok {
		return location{}, invalidEntry("shards", shard, "unknown node %q", s.Source)
	}
	required, ok := p.resolveNode(s.Target)
	if !ok {
		return location{}, invalidEntry("shards", shard, "unknown node %q", s.Target)
	}
	if s.Pinned {
		if source == unplaced {
			return location{}, invalidEntry("shards", shard, "pinned, but not on a node")
		}
		if required != unplaced && required != source || !p.isAllowed(shard, source) {
			return location{}, &ShardPlacementError{ShardID: s.ID, Bytes: s.Bytes, Pinned: true}
		}
		return location{source: source, required: source}, nil
	}
	if required != unplaced && !p.isAllowed(shard, required) {
		return location{}, invalidEntry("shards", shard,
			"target %q is draining or in a zone that the shard does not allow", s.Target)
	}
	return location{source: source, required: required}, nil
}

// resolveNode returns the index of a node, or unplaced for the empty name. It reports false if no node has the name.
func (p *problem) resolveNode(name string) (index int, ok bool) {
	if name == "" {
		return unplaced, true
	}
	index, ok = p.nodeIndexes[name]
	return index, ok
}

// addShard records the location of the next shard.
func (p *problem) addShard(shard int, at location) {
	s := &p.shards[shard]
	p.sourceNodes = append(p.sourceNodes, at.source)
	p.requiredNodes = append(p.requiredNodes, at.required)
	if at.source != unplaced {
		p.sourceLoads[at.source] += s.Bytes
	}
	if at.required != unplaced {
		p.requiredLoads[at.required] += s.Bytes
	} else {
		p.hasFreeShards = true
	}
	if s.AntiAffinity != "" {
		p.groups[s.AntiAffinity] = append(p.groups[s.AntiAffinity], shard)
	}
}

func invalidEntry(list string, index int, format string, args ...any) *InventoryError {
	return &InventoryError{Path: fmt.Sprintf("%s[%d]", list, index), Reason: fmt.Sprintf(format, args...)}
}

// isAllowed reports whether a shard may be on a node, regardless of other shards.
func (p *problem) isAllowed(shard, node int) bool {
	return !p.nodes[node].Draining && p.shards[shard].allowsZone(p.nodes[node].Zone)
}

// isSeparated reports whether no other shard of the shard's anti-affinity group is in the zone of a node. nodeOf holds, by
// shard, the node index or unplaced.
func (p *problem) isSeparated(nodeOf []int, shard, node int) bool {
	group := p.shards[shard].AntiAffinity
	if group == "" {
		return true
	}
	for _, other := range p.groups[group] {
		if other != shard && nodeOf[other] != unplaced && p.nodes[nodeOf[other]].Zone == p.nodes[node].Zone {
			return false
		}
	}
	return true
}

// movableShards returns the shards that are not pinned.
func (p *problem) movableShards() []int {
	var movable []int
	for shard := range p.shards {
		if !p.shards[shard].Pinned {
			movable = append(movable, shard)
		}
	}
	return movable
}

// compareLargestFirst orders shards by descending size, and shards of the same size by index.
func (p *problem) compareLargestFirst(x, y int) int {
	return cmp.Or(cmp.Compare(p.shards[y].Bytes, p.shards[x].Bytes), cmp.Compare(x, y))
}

// yield counts a unit of work, and calls Settings.Yield after every yieldInterval units.
func (p *problem) yield() {
	p.yieldCount++
	if p.yieldCount%yieldInterval == 0 && p.settings.Yield != nil {
		p.settings.Yield()
	}
}
