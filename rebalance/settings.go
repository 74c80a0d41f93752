package rebalance

import "woodproxy/internal/configfile"

// Settings are the settings of the planner.
type Settings struct {
	// Slack is how far a node's final load may exceed its even share, as a fraction of that share, from 0 to 1. It
	// applies where at least one shard has no required target.
	Slack float64
	// MaxMigrationsPerNode is the number of concurrent migrations that a node may take part in, from 1 to 64.
	MaxMigrationsPerNode int
	// MaxMigrations is the number of concurrent migrations in the fleet, from 1 to 1024.
	MaxMigrations int
	// MaxSearchedPlacements is the number of placements up to which all are searched for the optimal plan. Inventories with more
	// placements are planned by heuristics. 0 disables the search.
	MaxSearchedPlacements int
	// Yield is called regularly while a plan is made, so that it can yield the processor. It may be nil.
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
