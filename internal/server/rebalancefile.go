package server

import (
	"runtime"

	"woodproxy/rebalance"
)

// exactSearchLimit is the maximum number of placements that the planner searches exhaustively. Larger inventories are
// planned by a heuristic.
const exactSearchLimit = 1 << 14

// rebalanceFile is the format of the rebalance file (deploy/moves.toml).
type rebalanceFile struct {
	Slack             float64 `toml:"slack"`
	MigrationsPerNode int     `toml:"moves_per_node"`
	MigrationsTotal   int     `toml:"moves_in_all"`
}

// readRebalanceFile reads the rebalance file.
func readRebalanceFile(file string) (*rebalance.Settings, error) {
	values := &rebalanceFile{Slack: 0.1, MigrationsPerNode: 2, MigrationsTotal: 32}
	policy := &rebalance.Settings{}
	err := readPolicyFile("moves", file, values, func() error {
		*policy = rebalance.Settings{
			Slack:                 values.Slack,
			MaxMigrationsPerNode:  values.MigrationsPerNode,
			MaxMigrations:         values.MigrationsTotal,
			MaxSearchedPlacements: exactSearchLimit,
			Yield:                 runtime.Gosched,
		}
		return policy.Check()
	})
	if err != nil {
		return nil, err
	}
	return policy, nil
}
