package rebalance

import (
	"errors"
	"testing"
)

// isPlannerError reports whether an error is of one of the error types of NewPlan.
func isPlannerError(err error) bool {
	var (
		capacity  *CapacityError
		balance   *BalanceError
		shard     *ShardPlacementError
		stuck     *ScheduleError
		inventory *InventoryError
	)
	return errors.As(err, &capacity) || errors.As(err, &balance) || errors.As(err, &shard) ||
		errors.As(err, &stuck) || errors.As(err, &inventory)
}

// matches returns a function that reports whether an error is of type E and meets a condition.
func matches[E error](condition func(E) bool) func(error) bool {
	return func(err error) bool {
		var typed E
		return errors.As(err, &typed) && condition(typed)
	}
}

// isInvalidEntry returns a function that reports whether an error is an InventoryError about the entry at a path.
func isInvalidEntry(path string) func(error) bool {
	return matches(func(e *InventoryError) bool { return e.Path == path })
}

// An inventory that can't be planned gives a typed error that reports the cause and the place.
func TestInfeasibleInventoryReturnsTypedError(t *testing.T) {
	twoNodes := []Node{{Name: "a", Capacity: 10, Zone: "x"}, {Name: "b", Capacity: 10, Zone: "y"}}
	for _, c := range []struct {
		name       string
		nodes      []Node
		shards     []Shard
		isExpected func(error) bool
	}{
		{
			"21 bytes do not fit into 20", twoNodes,
			[]Shard{{ID: 1, Bytes: 10, Source: "a"}, {ID: 2, Bytes: 11}},
			isPlannerError,
		},
		{
			"targets exceed a node's capacity", twoNodes,
			[]Shard{{ID: 1, Bytes: 6, Source: "a", Target: "b"}, {ID: 2, Bytes: 6, Source: "b", Target: "b"}},
			matches(func(e *CapacityError) bool { return e.Shortfalls[0] == Shortfall{"b", 2} }),
		},
		{
			"shard larger than any node", twoNodes,
			[]Shard{{ID: 1, Bytes: 11}},
			matches(func(e *ShardPlacementError) bool { return e.LargestCapacity == 10 && !e.Pinned }),
		},
		{
			"shard pinned to a draining node",
			[]Node{{Name: "a", Capacity: 10, Draining: true}, {Name: "b", Capacity: 10}},
			[]Shard{{ID: 1, Bytes: 1, Source: "a", Pinned: true}},
			matches(func(e *ShardPlacementError) bool { return e.Pinned }),
		},
		{
			"loads can't be balanced within the slack", twoNodes,
			[]Shard{{ID: 1, Bytes: 9, Source: "a"}, {ID: 2, Bytes: 3, Source: "b"}},
			matches(func(e *BalanceError) bool { return e.FeasibleSlack > 0.1 && e.FeasibleSlack <= 1 }),
		},
		{"unknown source", twoNodes, []Shard{{ID: 1, Source: "q"}}, isInvalidEntry("shards[0]")},
		{"negative size", twoNodes, []Shard{{ID: 1, Bytes: -1}}, isInvalidEntry("shards[0]")},
		{"pinned and unplaced", twoNodes, []Shard{{ID: 1, Pinned: true}}, isInvalidEntry("shards[0]")},
		{"unknown target", twoNodes, []Shard{{ID: 1, Target: "z"}}, isInvalidEntry("shards[0]")},
		{"duplicate node name", []Node{{Name: "a"}, {Name: "a"}}, nil, isInvalidEntry("nodes[1]")},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := NewPlan(&Inventory{Nodes: c.nodes, Shards: c.shards}, defaultSettings); !c.isExpected(err) {
				t.Errorf("got unexpected error %T: %v", err, err)
			}
		})
	}
}
