package rebalance

import "math"

// Migration is the migration of one shard. Nodes are identified by name.
type Migration struct {
	Shard int    `json:"shard"`          // ID of the shard
	From  string `json:"from,omitempty"` // empty if no node stores the shard yet
	To    string `json:"to"`
	Bytes int64  `json:"bytes"` // size of the shard
}

// Plan is a sequence of steps. The migrations of a step may run concurrently. A step starts after the previous step has
// finished.
type Plan struct {
	Steps                  [][]Migration `json:"steps"`
	Bytes                  int64         `json:"bytes"`   // sum of the sizes of all migrations
	LowerBoundBytes        int64         `json:"least"`   // lower bound: no plan migrates fewer bytes
	IntermediateMigrations int           `json:"through"` // migrations to a node that is not the shard's final one
	Optimal                bool          `json:"exact"`   // the plan was found by the search: no plan migrates fewer bytes
}

// NewPlan plans the migrations of an inventory. Limits on concurrent migrations that are below 1 count as 1. If no plan is
// found, the error is of one of these types:
//
//   - [*InventoryError]: the inventory is invalid;
//   - [*ShardPlacementError]: no node can store a shard, or a shard is pinned to a node where it may not stay;
//   - [*CapacityError]: the shards exceed the capacity of the nodes;
//   - [*BalanceError]: loads can't be balanced within the slack;
//   - [*ScheduleError]: no order of migrations leads to the placement.
func NewPlan(inventory *Inventory, settings Settings) (*Plan, error) {
	p, err := newProblem(inventory, settings)
	if err != nil {
		return nil, err
	}
	if p.isSearchable() {
		return p.searchPlan()
	}
	return p.heuristicPlan()
}

// isSearchable reports whether the number of placements is at most MaxSearchedPlacements.
func (p *problem) isSearchable() bool {
	if p.settings.MaxSearchedPlacements <= 0 {
		return false
	}
	choices := float64(len(p.nodes) + 1) // each node, or unplaced
	return math.Pow(choices, float64(len(p.movableShards()))) <= float64(p.settings.MaxSearchedPlacements)
}

// heuristicPlan chooses the final nodes of the shards first and then the order of the migrations.
func (p *problem) heuristicPlan() (*Plan, error) {
	finalNodes, err := p.placeShards()
	if err != nil {
		return nil, err
	}
	return p.scheduleMigrations(finalNodes)
}
