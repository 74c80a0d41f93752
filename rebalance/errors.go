package rebalance

import (
	"fmt"
	"strings"
)

// maxListedShortfalls is the maximum number of shortfalls listed in an error's text. Further ones are only counted.
const maxListedShortfalls = 8

// InventoryError reports an invalid inventory.
type InventoryError struct {
	Path   string `json:"Where"` // path of the invalid entry, such as "nodes[1]"
	Reason string `json:"What"`  // why the entry is invalid
}

// TypeName returns the stable name of the error type in HTTP responses.
func (e *InventoryError) TypeName() string { return "moves.InventoryError" }

func (e *InventoryError) Error() string {
	return fmt.Sprintf("%s: %s; correct the inventory, nothing was planned", e.Path, e.Reason)
}

// Shortfall is the additional capacity in bytes that a node needs.
type Shortfall struct {
	Node  string `json:"node"`
	Bytes int64  `json:"bytes"`
}

// formatShortfalls returns a text that lists the first shortfalls and counts the others.
func formatShortfalls(shortfalls []Shortfall) string {
	var parts []string
	for i, shortfall := range shortfalls {
		if i == maxListedShortfalls {
			parts = append(parts, fmt.Sprintf("and %d more", len(shortfalls)-i))
			break
		}
		parts = append(parts, fmt.Sprintf("%s %d bytes", shortfall.Node, shortfall.Bytes))
	}
	return strings.Join(parts, ", ")
}

// CapacityError reports that no placement within the capacities of the nodes was found.
type CapacityError struct {
	Shortfalls    []Shortfall `json:"Lacks"`  // by node: of required targets, otherwise of nodes that the shards may go to
	NeededBytes   int64       `json:"Needed"` // total size of all shards in bytes
	CapacityBytes int64       `json:"Room"`   // total capacity in bytes of the nodes that are not draining
}

// TypeName returns the stable name of the error type in HTTP responses.
func (e *CapacityError) TypeName() string { return "moves.RoomError" }

func (e *CapacityError) Error() string {
	return fmt.Sprintf("capacity: shards need %d bytes, nodes that are not draining have %d; "+
		"missing: %s; add this capacity, or add a node", e.NeededBytes, e.CapacityBytes, formatShortfalls(e.Shortfalls))
}

// ShardPlacementError reports a shard that no node can store, or that is pinned to a node where it may not be.
type ShardPlacementError struct {
	ShardID         int   `json:"Shard"`   // ID of the shard
	Bytes           int64 `json:"Bytes"`   // size of the shard
	LargestCapacity int64 `json:"Largest"` // largest capacity in bytes among the nodes that the shard may be on; 0 if Pinned
	Pinned          bool  `json:"Pinned"`  // the shard is pinned to a node where it may not stay
}

// TypeName returns the stable name of the error type in HTTP responses.
func (e *ShardPlacementError) TypeName() string { return "moves.ShardError" }

func (e *ShardPlacementError) Error() string {
	if e.Pinned {
		return fmt.Sprintf("shard %d: pinned to a node where it may not stay; remove the pin, or let it stay", e.ShardID)
	}
	return fmt.Sprintf("shard %d: has %d bytes, but no node that it may be on has a capacity of more than %d; "+
		"increase the capacity of one, or allow another zone", e.ShardID, e.Bytes, e.LargestCapacity)
}

// BalanceError reports that loads can't be balanced within the slack.
type BalanceError struct {
	Slack         float64 `json:"Stated"` // configured slack
	FeasibleSlack float64 `json:"Needed"` // larger slack for which a placement was found; 0 if none of those tried has one
}

// TypeName returns the stable name of the error type in HTTP responses.
func (e *BalanceError) TypeName() string { return "moves.BalanceError" }

func (e *BalanceError) Error() string {
	if e.FeasibleSlack > 0 {
		return fmt.Sprintf("slack: %v: loads can't be balanced within this slack; a slack of %.3f is feasible",
			e.Slack, e.FeasibleSlack)
	}
	return fmt.Sprintf("slack: %v: loads can't be balanced, even with a slack of 1; "+
		"remove pins or zones, or change node weights", e.Slack)
}

// ScheduleError reports that a placement was found, but no order of migrations that leads to it.
type ScheduleError struct {
	PendingShards int         `json:"Shards"` // number of shards that can't reach their final nodes
	Shortfalls    []Shortfall `json:"Lacks"`  // by node, the smallest first: capacity needed to receive one more shard
}

// TypeName returns the stable name of the error type in HTTP responses.
func (e *ScheduleError) TypeName() string { return "moves.StuckError" }

func (e *ScheduleError) Error() string {
	return fmt.Sprintf("order: %d shards can't be migrated, since no node has capacity to receive one first; missing: %s; "+
		"add this capacity to one of these nodes, or to any other node until the migrations are done",
		e.PendingShards, formatShortfalls(e.Shortfalls))
}
