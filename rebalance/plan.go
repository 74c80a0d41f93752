package rebalance

import "math"

// Migration is the migration of one shard. Nodes are given by name.
type Migration struct {
	Shard int    `json:"shard"`          // ID of the shard
	From  string `json:"from,omitempty"` // empty if no node stores the shard yet
	To    string `json:"to"`
	Bytes int64  `json:"bytes"` // size of the shard
}

// Plan is a sequence of steps. The migrations of a step may run concurrently; a step starts when the one before it has
// finished.
type Plan struct {
	Steps                  [][]Migration `json:"steps"`
	Bytes                  int64         `json:"bytes"`   // sum over all migrations
	LowerBoundBytes        int64         `json:"least"`   // no plan migrates fewer bytes
	IntermediateMigrations int           `json:"through"` // migrations to a node where the shard does not stay
	Optimal                bool          `json:"exact"`   // no plan migrates fewer bytes than this one
}

// NewPlan plans the migrations of an inventory. Limits on concurrent migrations that are below 1 count as 1. If there is no
// plan, the error is one of this package's types:
//
//   - [*InventoryError]: the inventory is invalid;
//   - [*ShardPlacementError]: no node may store a shard;
//   - [*CapacityError]: the shards exceed the capacity of nodes;
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

// isSearchable reports whether the number of placements is within the limit of the settings.
func (p *problem) isSearchable() bool {
	if p.settings.MaxSearchedPlacements <= 0 {
		return false
	}
	choices := float64(len(p.nodes) + 1) // each node, or none
	return math.Pow(choices, float64(len(p.movableShards()))) <= float64(p.settings.MaxSearchedPlacements)
}

// heuristicPlan chooses the final nodes first and the order of the migrations after that.
func (p *problem) heuristicPlan() (*Plan, error) {
	finalNodes, err := p.placeShards()
	if err != nil {
		return nil, err
	}
	return p.scheduleMigrations(finalNodes)
}
