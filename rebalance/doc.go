// Package rebalance plans the migration of shards between cache nodes: it chooses the final node of each shard and the
// order of the migrations.
//
// A shard is a fixed part of the key space. A node's capacity is the number of bytes that it can store. The cost of a
// migration is the size of the shard, because the target node reads that many bytes from the origin.
//
// A plan meets these goals, in order of priority:
//
//  1. No node exceeds its capacity at any step. A migrating shard counts toward the loads of both its source and its
//     target.
//  2. No node's final load exceeds its even share by more than the configured slack.
//  3. As few bytes as possible migrate.
//  4. The plan has as few steps as possible.
//
// [NewPlan] is the entry point. Small inventories are solved optimally by a search over all placements. Larger ones are
// solved by heuristics in two stages: the placement chooses each shard's final node, and the schedule orders the
// migrations. If no valid plan is found, NewPlan returns a typed error, never a partial plan. Plans are deterministic:
// the same inventory and settings give the same plan.
//
// The package does no I/O, starts no goroutines and keeps no state between calls. Its functions may be called
// concurrently as long as the inventory is not modified during a call.
package rebalance
