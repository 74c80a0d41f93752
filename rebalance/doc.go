// Package rebalance plans the migration of shards between cache nodes: where each shard ends, and in which order the
// shards migrate.
//
// A shard is a fixed part of the key space. A node's capacity is the number of bytes that it can store. The cost of a
// migration is the size of the shard, because its new node reads that many bytes from the origin.
//
// A plan meets these goals, the most important first:
//
//  1. No node exceeds its capacity at any step. A migrating shard counts at both its nodes.
//  2. No node's final load exceeds its even share by more than the stated slack.
//  3. As few bytes as possible migrate.
//  4. The plan has as few steps as possible.
//
// [NewPlan] is the entry point. Small inventories are solved optimally by a search over all placements. Larger ones are
// solved by heuristics in two stages: the placement chooses each shard's final node, the schedule orders the
// migrations. An inventory that has no valid plan gives a typed error, never a partial plan. Plans are deterministic:
// the same inventory and settings give the same plan.
//
// The package does no I/O, starts no goroutines and keeps no state between calls, so that its functions may be called
// concurrently, provided that nobody modifies the inventory meanwhile.
package rebalance
