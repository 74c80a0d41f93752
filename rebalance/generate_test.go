package rebalance

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// defaultSettings enable the search for the optimal plan of small inventories.
var defaultSettings = Settings{Slack: 0.1, MaxMigrationsPerNode: 2, MaxMigrations: 8, MaxSearchedPlacements: 1 << 16}

// swapInventory returns two nodes that have to swap their shards. Neither has capacity for both shards.
func swapInventory() *Inventory {
	return &Inventory{
		Nodes: []Node{{Name: "a", Capacity: 10}, {Name: "b", Capacity: 10}},
		Shards: []Shard{
			{ID: 1, Bytes: 8, Source: "a", Target: "b"},
			{ID: 2, Bytes: 8, Source: "b", Target: "a"},
		},
	}
}

// smallInventory returns a random inventory of up to 4 nodes and maxReferenceShards shards. Nodes may be full or over
// capacity. Shards may be unplaced, pinned, restricted to a zone, in an anti-affinity group, or have a target.
func smallInventory(random *rand.Rand) *Inventory {
	inventory := &Inventory{}
	nodes, shards := 1+random.IntN(4), random.IntN(maxReferenceShards+1)
	hasTargets := random.IntN(3) == 0
	for i := range nodes {
		inventory.Nodes = append(inventory.Nodes, Node{
			Name: fmt.Sprint("c", i), Zone: fmt.Sprint("z", i%2),
			Capacity: int64(4 + random.IntN(24)), Draining: random.IntN(6) == 0,
		})
	}
	for i := range shards {
		shard := Shard{ID: i, Bytes: int64(random.IntN(9)), Source: inventory.Nodes[random.IntN(nodes)].Name}
		switch random.IntN(10) {
		case 0:
			shard.Source = ""
		case 1:
			shard.Pinned = true
		case 2:
			shard.Zones = []string{"z0"}
		case 3:
			shard.AntiAffinity = "g"
		}
		target := inventory.Nodes[random.IntN(nodes)]
		if hasTargets && !shard.Pinned && len(shard.Zones) == 0 && !target.Draining {
			shard.Target = target.Name
		}
		inventory.Shards = append(inventory.Shards, shard)
	}
	return inventory
}

// largeFleet describes a generated inventory. A tenth of the nodes are draining, another tenth are new and empty, and the
// loads of the others are uneven.
type largeFleet struct {
	nodes, shards int
	spare         float64 // capacity beyond the even share, as a fraction of it
	hasTargets    bool    // each shard has a target, which is its source for most shards
	seed          uint64
}

// fleetGenerator holds the state while an inventory is generated.
type fleetGenerator struct {
	random    *rand.Rand
	inventory *Inventory
	sizes     []int64 // by shard
	capacity  int64   // of each node
	loads     []int64 // by node
	remaining int     // number of nodes that are not draining; these come first
}

// inventory generates the inventory. The same largeFleet always gives the same inventory.
func (f largeFleet) inventory() *Inventory {
	g := &fleetGenerator{
		random:    rand.New(rand.NewPCG(f.seed, 11)),
		inventory: &Inventory{},
		loads:     make([]int64, f.nodes),
		remaining: f.nodes - f.nodes/10,
	}
	total := int64(0)
	for range f.shards {
		size := int64(1e6 * math.Exp(0.5*g.random.NormFloat64()))
		g.sizes = append(g.sizes, size)
		total += size
	}
	g.capacity = int64(float64(total) / float64(g.remaining) * (1 + f.spare))
	for i := range f.nodes {
		g.inventory.Nodes = append(g.inventory.Nodes, Node{
			Name: fmt.Sprint("c", i), Zone: fmt.Sprint("z", i%4), Capacity: g.capacity, Draining: i >= g.remaining,
		})
	}
	firstUsed := f.nodes / 10 // the nodes before this index are new
	for i, size := range g.sizes {
		source := g.inventory.Nodes[g.randomSource(size, firstUsed)].Name
		g.inventory.Shards = append(g.inventory.Shards, Shard{ID: i, Bytes: size, Source: source})
	}
	if f.hasTargets {
		g.setTargets()
	}
	return g.inventory
}

// randomSource puts a shard of a size on a random node with enough capacity and an index of at least first. If it finds
// none, it uses a node with a low load, even if that exceeds the capacity of the node.
func (g *fleetGenerator) randomSource(size int64, first int) int {
	count := len(g.loads) - first
	node := first + g.random.IntN(count)
	for range 20 {
		if g.loads[node]+size > g.capacity {
			node = first + g.random.IntN(count)
		}
	}
	for k := first; k < len(g.loads) && g.loads[node]+size > g.capacity; k++ {
		if g.loads[k] < g.loads[node] {
			node = k
		}
	}
	g.loads[node] += size
	return node
}

// setTargets sets the target of each shard, the largest shard first.
func (g *fleetGenerator) setTargets() {
	clear(g.loads)
	order := g.random.Perm(len(g.sizes))
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(g.sizes[y], g.sizes[x]) })
	for _, i := range order {
		target := g.randomTarget(&g.inventory.Shards[i])
		g.loads[target] += g.sizes[i]
		g.inventory.Shards[i].Target = g.inventory.Nodes[target].Name
	}
}

// randomTarget returns the shard's source for three of four shards if the shard fits there. Otherwise it returns the node
// with the lowest load of three random nodes, or of all nodes if the shard does not fit.
func (g *fleetGenerator) randomTarget(shard *Shard) int {
	target := g.random.IntN(g.remaining)
	for range 2 {
		if node := g.random.IntN(g.remaining); g.loads[node] < g.loads[target] {
			target = node
		}
	}
	if g.random.IntN(4) > 0 {
		for node := range g.remaining {
			if g.inventory.Nodes[node].Name == shard.Source && g.loads[node]+shard.Bytes <= g.capacity {
				target = node
			}
		}
	}
	if g.loads[target]+shard.Bytes > g.capacity {
		for node := range g.remaining {
			if g.loads[node] < g.loads[target] {
				target = node
			}
		}
	}
	return target
}
