package rebalance

import (
	"fmt"
	"strings"
)

// maxListedShortfalls is the number of nodes that an error's text names; the rest is counted.
const maxListedShortfalls = 8

// InventoryError reports an invalid inventory.
type InventoryError struct {
	Where string `json:"Where"` // path of the entry, such as "nodes[1]"
	What  string `json:"What"`  // why it is invalid
}

// TypeName returns the stable name of the error's type in HTTP answers.
func (e *InventoryError) TypeName() string { return "moves.InventoryError" }

func (e *InventoryError) Error() string {
	return fmt.Sprintf("%s: %s; mend the inventory, nothing was planned", e.Where, e.What)
}

// Lack is the capacity in bytes that a node is short of.
type Lack struct {
	Node  string `json:"node"`
	Bytes int64  `json:"bytes"`
}

// formatShortfalls lists the first shortfalls and counts the rest.
func formatShortfalls(shortfalls []Lack) string {
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

// RoomError reports that no placement fits the capacity of the nodes.
type RoomError struct {
	Lacks  []Lack `json:"Lacks"`  // by node: of required targets, else of the nodes that the shards could go to
	Needed int64  `json:"Needed"` // bytes of all shards
	Room   int64  `json:"Room"`   // capacity in bytes of all nodes that are not draining
}

// TypeName returns the stable name of the error's type in HTTP answers.
func (e *RoomError) TypeName() string { return "moves.RoomError" }

func (e *RoomError) Error() string {
	return fmt.Sprintf("room: shards have %d bytes, nodes that stay room for %d; lacking: %s; "+
		"give these so much more, or add a node", e.Needed, e.Room, formatShortfalls(e.Lacks))
}

// ShardError reports a shard that no node can store, or that is pinned to a node that it has to leave.
type ShardError struct {
	Shard   int   `json:"Shard"`   // ID of the shard
	Bytes   int64 `json:"Bytes"`   // size of the shard
	Largest int64 `json:"Largest"` // largest capacity in bytes of the nodes that it may be on; 0 if it is pinned
	Pinned  bool  `json:"Pinned"`
}

// TypeName returns the stable name of the error's type in HTTP answers.
func (e *ShardError) TypeName() string { return "moves.ShardError" }

func (e *ShardError) Error() string {
	if e.Pinned {
		return fmt.Sprintf("shard %d: pinned to a node that it has to leave; take the pin off, or keep that node", e.Shard)
	}
	return fmt.Sprintf("shard %d: of %d bytes, and no node that it may be on has room for more than %d; "+
		"give one as much, or let it into another zone", e.Shard, e.Bytes, e.Largest)
}

// BalanceError reports that loads can't be balanced within the slack.
type BalanceError struct {
	Stated float64 `json:"Stated"` // the slack of the settings
	Needed float64 `json:"Needed"` // a slack for which a placement was found; 0: none was found for any slack tried
}

// TypeName returns the stable name of the error's type in HTTP answers.
func (e *BalanceError) TypeName() string { return "moves.BalanceError" }

func (e *BalanceError) Error() string {
	if e.Needed > 0 {
		return fmt.Sprintf("slack: %v: loads can't be so even; with %.3f they can", e.Stated, e.Needed)
	}
	return fmt.Sprintf("slack: %v: loads can't be so even, nor with 1; "+
		"take off pins or zones, or give nodes other weights", e.Stated)
}

// StuckError reports that a placement exists, but no order of migrations that leads to it.
type StuckError struct {
	Shards int    `json:"Shards"` // number of shards that can't reach their final node
	Lacks  []Lack `json:"Lacks"`  // by node, the smallest first: what would let one more shard in
}

// TypeName returns the stable name of the error's type in HTTP answers.
func (e *StuckError) TypeName() string { return "moves.StuckError" }

func (e *StuckError) Error() string {
	return fmt.Sprintf("order: %d shards can't go on, since none has room to go first; lacking: %s; "+
		"so much more at one of these, or at any other node for the time of the moves, helps",
		e.Shards, formatShortfalls(e.Lacks))
}
