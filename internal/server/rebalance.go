package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"woodproxy/rebalance"
)

const (
	// maxConcurrentPlans is the maximum number of plans computed at the same time. Further calls fail immediately.
	maxConcurrentPlans = 1

	// Maximum size of an inventory: planning uses memory and CPU time of this process.
	maxInventoryNodes  = 500
	maxInventoryShards = 16384
)

// PlannerBusyError is returned if the maximum number of migration plans is being computed already. It is part of the
// JSON responses of the admin API, which operators' programs parse.
type PlannerBusyError struct {
	Limit int `json:"Most"`
}

// TypeName returns the name of the error's type in responses of the admin API.
func (e *PlannerBusyError) TypeName() string { return "run.BusyError" }

// Error returns the error in one line.
func (e *PlannerBusyError) Error() string {
	return fmt.Sprintf("%d plan is being computed already; try again when it is done", e.Limit)
}

// migrationPlanner plans shard migrations for operators. Its methods may be called from any goroutine.
type migrationPlanner struct {
	config *rebalance.Settings // nil: no rebalance file is configured
	slots  chan struct{}       // semaphore with one element for each plan that is being computed
}

func newMigrationPlanner(config *rebalance.Settings) *migrationPlanner {
	return &migrationPlanner{config: config, slots: make(chan struct{}, maxConcurrentPlans)}
}

// plan reads an inventory in JSON and returns the plan, which is sent as JSON. It returns nil and no error if no
// rebalance file is configured. It takes up to a second. Errors have the type *PlannerBusyError or a type of package
// rebalance.
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
		return nil, inventoryError(fmt.Sprintf("%d nodes and %d shards, the limits are %d and %d",
			len(decoded.Nodes), len(decoded.Shards), maxInventoryNodes, maxInventoryShards))
	}
	return &decoded, nil
}

func inventoryError(fault string) error {
	return &rebalance.InventoryError{Path: "inventory", Reason: fault}
}

// describeJSONError returns the text of a decoding error. For syntax errors it does not use the text of the decoder,
// which quotes the input.
func describeJSONError(err error) string {
	var syntaxError *json.SyntaxError
	if errors.As(err, &syntaxError) {
		return fmt.Sprintf("no JSON after %d bytes", syntaxError.Offset)
	}
	return err.Error()
}
