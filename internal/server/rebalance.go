package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"woodproxy/rebalance"
)

const (
	// maxConcurrentPlans bounds the plans that are made at a time; further calls fail at once.
	maxConcurrentPlans = 1

	// Bounds of an inventory: planning takes this process's memory and time.
	maxInventoryNodes  = 500
	maxInventoryShards = 16384
)

// PlannerBusyError tells that as many migration plans are being made as may be at a time. Operators' programs read it
// as JSON.
type PlannerBusyError struct {
	Limit int `json:"Most"`
}

// TypeName is the error's type on the wire.
func (e *PlannerBusyError) TypeName() string { return "run.BusyError" }

func (e *PlannerBusyError) Error() string {
	return fmt.Sprintf("%d plan is being made already; ask again once it is done", e.Limit)
}

// migrationPlanner plans shard migrations for operators. Its methods may be called from any goroutine.
type migrationPlanner struct {
	config *rebalance.Settings // nil: nothing is planned
	slots  chan struct{}       // holds one element for each plan that is being made
}

func newMigrationPlanner(config *rebalance.Settings) *migrationPlanner {
	return &migrationPlanner{config: config, slots: make(chan struct{}, maxConcurrentPlans)}
}

// plan reads an inventory in JSON and returns the plan, to be sent as JSON; nil and no error if no rebalance file is
// named. It takes up to a second. Errors are of type *PlannerBusyError or of the types of package rebalance.
func (p *migrationPlanner) plan(inventory io.Reader) (any, error) {
	if p.config == nil {
		return nil, nil
	}
	select {
	case p.slots <- struct{}{}:
		defer func() { <-p.slots }()
	default:
		return nil, &PlannerBusyError{Limit: maxConcurrentPlans}
	}
	decoded, err := decodeInventory(inventory)
	if err != nil {
		return nil, err
	}
	return rebalance.NewPlan(decoded, *p.config)
}

func decodeInventory(inventory io.Reader) (*rebalance.Inventory, error) {
	decoder := json.NewDecoder(inventory)
	decoder.DisallowUnknownFields()
	var decoded rebalance.Inventory
	if err := decoder.Decode(&decoded); err != nil {
		return nil, inventoryError(describeJSONError(err))
	}
	if len(decoded.Nodes) > maxInventoryNodes || len(decoded.Shards) > maxInventoryShards {
		return nil, inventoryError(fmt.Sprintf("%d nodes and %d shards, over %d and %d",
			len(decoded.Nodes), len(decoded.Shards), maxInventoryNodes, maxInventoryShards))
	}
	return &decoded, nil
}

func inventoryError(fault string) error {
	return &rebalance.InventoryError{Path: "inventory", Reason: fault}
}

// describeJSONError returns the text of a decoding error; the decoder's own text on bad syntax quotes the input.
func describeJSONError(err error) string {
	var syntaxError *json.SyntaxError
	if errors.As(err, &syntaxError) {
		return fmt.Sprintf("no JSON after %d bytes", syntaxError.Offset)
	}
	return err.Error()
}
