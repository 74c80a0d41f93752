// Package rebalance plans how shards go from node to node: where each is to be in the end, and in which order, so that at no step is any
// node over its room, the copies that are on their way included; then so that loads are as even as stated; then with the fewest
// bytes moved; then in the fewest steps. A shard is a fixed part of the key space, a node's room what it has for values, and a byte
// moved one that the origin reads again. What can't be done is an error of a type of its own, never a plan met by half. Same
// inputs, same plan. No I/O in here.
package rebalance

import (
	"fmt"
	"strings"

	"woodproxy/internal/configfile"
)

// Node is a cache.
type Node struct {
	Name   string  `json:"name"`
	Zone   string  `json:"zone,omitempty"`
	Room   int64   `json:"room_bytes"`
	Weight float64 `json:"weight,omitempty"` // 0: 1
	Leaves bool    `json:"leaves,omitempty"` // it is to be empty in the end, and takes nothing
}

// Shard is what one part of the key space holds.
type Shard struct {
	ID    int      `json:"id"`
	Bytes int64    `json:"bytes"`
	On    string   `json:"on,omitempty"`    // "": nowhere yet
	Want  string   `json:"want,omitempty"`  // where it is to be, as by the ring; "": where loads are even
	Pin   bool     `json:"pin,omitempty"`   // it stays where it is
	Zones []string `json:"zones,omitempty"` // in which alone it may be; none: in all
	Apart string   `json:"apart,omitempty"` // no zone may hold two shards of this name
}

// Inventory is what is where.
type Inventory struct {
	Nodes  []Node  `json:"nodes"`
	Shards []Shard `json:"shards"`
}

// Terms bound a plan.
type Terms struct {
	Slack   float64 // a node's load is at most so much over its even part, where shards want no node
	PerNode int     // moves at once in which a node has a part
	InAll   int     // moves at once
	Exact   int     // so many placements at most are searched one by one; where there are more the plan is made by rules
	Breathe func()  // called now and then, so that others have the processor; nil: not
}

// RangeError tells of a figure that is out of its range.
type RangeError = configfile.RangeError

// Check tells whether terms can be kept to.
func (t *Terms) Check() error {
	return configfile.Check(configfile.Range("slack", t.Slack, 0, 1), configfile.Range("moves_per_node", float64(t.PerNode), 1, 64), configfile.Range("moves_in_all", float64(t.InAll), 1, 1024))
}

// Move is one of a step.
type Move struct {
	Shard int    `json:"shard"`
	From  string `json:"from,omitempty"`
	To    string `json:"to"`
	Bytes int64  `json:"bytes"`
}

// Plan is the moves in order. Those of a step may all be on their way at once.
type Plan struct {
	Steps   [][]Move `json:"steps"`
	Bytes   int64    `json:"bytes"`   // in all
	Least   int64    `json:"least"`   // no plan moves fewer
	Through int      `json:"through"` // moves to a node where the shard does not stay, since there was no room for it otherwise
	Exact   bool     `json:"exact"`   // none moves fewer bytes
}

// InventoryError tells what in an inventory can't be.
type InventoryError struct {
	Where string `json:"Where"`
	What  string `json:"What"`
}

// TypeName is how operators' callers know the error.
func (e *InventoryError) TypeName() string { return "moves.InventoryError" }

func (e *InventoryError) Error() string {
	return fmt.Sprintf("%s: %s; mend the inventory, nothing was planned", e.Where, e.What)
}

// Lack is what a node has too little of.
type Lack struct {
	Node  string `json:"node"`
	Bytes int64  `json:"bytes"`
}

func words(all []Lack) string {
	var s []string
	for i, l := range all {
		if i == 8 {
			s = append(s, fmt.Sprintf("and %d more", len(all)-i))
			break
		}
		s = append(s, fmt.Sprintf("%s %d bytes", l.Node, l.Bytes))
	}
	return strings.Join(s, ", ")
}

// RoomError tells that no placement fits.
type RoomError struct {
	Lacks  []Lack `json:"Lacks"`  // where the target has them, or if it names none, where they would go
	Needed int64  `json:"Needed"` // bytes of all shards,
	Room   int64  `json:"Room"`   // and of all nodes that stay
}

// TypeName is how operators' callers know the error.
func (e *RoomError) TypeName() string { return "moves.RoomError" }

func (e *RoomError) Error() string {
	return fmt.Sprintf("room: shards have %d bytes, nodes that stay room for %d; lacking: %s; give these so much more, or add a node", e.Needed, e.Room, words(e.Lacks))
}

// ShardError tells of a shard that no node may have, or that may not go where it has to.
type ShardError struct {
	Shard   int   `json:"Shard"`
	Bytes   int64 `json:"Bytes"`
	Largest int64 `json:"Largest"` // the most room that any node has which it may be on
	Pinned  bool  `json:"Pinned"`
}

// TypeName is how operators' callers know the error.
func (e *ShardError) TypeName() string { return "moves.ShardError" }

func (e *ShardError) Error() string {
	if e.Pinned {
		return fmt.Sprintf("shard %d: pinned to a node that it has to leave; take the pin off, or keep that node", e.Shard)
	}
	return fmt.Sprintf("shard %d: of %d bytes, and no node that it may be on has room for more than %d; give one as much, or let it into another zone", e.Shard, e.Bytes, e.Largest)
}

// BalanceError tells that loads can't be as even as stated.
type BalanceError struct {
	Stated float64 `json:"Stated"`
	Needed float64 `json:"Needed"` // with which a plan was found, 0: none was up to twice the even part
}

// TypeName is how operators' callers know the error.
func (e *BalanceError) TypeName() string { return "moves.BalanceError" }

func (e *BalanceError) Error() string {
	if e.Needed > 0 {
		return fmt.Sprintf("slack: %v: loads can't be so even; with %.3f they can", e.Stated, e.Needed)
	}
	return fmt.Sprintf("slack: %v: loads can't be so even, nor with 1; take off pins or zones, or give nodes other weights", e.Stated)
}

// StuckError tells that there is a placement and no way to it.
type StuckError struct {
	Shards int    `json:"Shards"` // that could not get to where they are to be
	Lacks  []Lack `json:"Lacks"`  // the least that would let one of them in, by node
}

// TypeName is how operators' callers know the error.
func (e *StuckError) TypeName() string { return "moves.StuckError" }

func (e *StuckError) Error() string {
	return fmt.Sprintf("order: %d shards can't go on, since none has room to go first; lacking: %s; so much more at one of these, or at any other node for the time of the moves, helps", e.Shards, words(e.Lacks))
}
