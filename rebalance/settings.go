package rebalance

import "woodproxy/internal/configfile"

// Settings are the settings of the planner.
type Settings struct {
	// Slack is the maximum excess of a node's final load over its even share, as a fraction of that share, from 0 to 1.
	// It applies if at least one shard has no required target.
	Slack float64
	// MaxMigrationsPerNode is the maximum number of concurrent migrations that a node takes part in, from 1 to 64.
	MaxMigrationsPerNode int
	// MaxMigrations is the maximum number of concurrent migrations in the fleet, from 1 to 1024.
	MaxMigrations int
	// MaxSearchedPlacements is the maximum number of possible placements of an inventory that is planned by the search for
	// the optimal plan. Inventories with more placements are planned by heuristics. 0 disables the search.
	MaxSearchedPlacements int
	// Yield, if not nil, is called regularly during planning so that it can yield the processor to other goroutines.
	Yield func()
}

// RangeError reports a setting that is out of its range.
type RangeError = configfile.RangeError

// Check returns an error that wraps a [*RangeError] if a setting is out of its range.
func (t *Settings) Check() error {
	return configfile.CheckRanges(
		configfile.Range("slack", t.Slack, 0, 1),
		configfile.Range("moves_per_node", float64(t.MaxMigrationsPerNode), 1, 64),
		configfile.Range("moves_in_all", float64(t.MaxMigrations), 1, 1024),
	)
}
