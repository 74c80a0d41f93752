package rebalance

// Move is the migration of one shard. Nodes are given by name.
type Move struct {
	Shard int    `json:"shard"`          // ID of the shard
	From  string `json:"from,omitempty"` // empty if no node stores the shard yet
	To    string `json:"to"`
	Bytes int64  `json:"bytes"` // size of the shard
}

// Plan is a sequence of steps. The migrations of a step may run concurrently; a step starts when the one before it has
// finished.
type Plan struct {
	Steps             [][]Move `json:"steps"`
	Bytes             int64    `json:"bytes"`   // sum over all migrations
	LowerBoundBytes   int64    `json:"least"`   // no plan migrates fewer bytes
	IntermediateMoves int      `json:"through"` // migrations to a node where the shard does not stay, to free capacity
	Optimal           bool     `json:"exact"`   // no plan migrates fewer bytes than this one
}
