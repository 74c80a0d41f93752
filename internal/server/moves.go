package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"woodproxy/rebalance"
)

// planners is how many plans may be made at a time; further calls are told so at once.
const planners = 1

// BusyError tells that as many plans are being made as may be.
type BusyError struct {
	Most int `json:"Most"`
}

// TypeName is how operators' callers know the error.
func (e *BusyError) TypeName() string { return "run.BusyError" }

func (e *BusyError) Error() string {
	return fmt.Sprintf("%d plan is being made already; ask again once it is done", e.Most)
}

// Plan plans moves of an inventory, in JSON, and answers in JSON. An error that the planner found is of one of its types.
func (s *service) Plan(inventory io.Reader) (any, error) {
	t := s.peers.place.Moves
	if t == nil {
		return nil, nil
	}
	select {
	case s.planning <- struct{}{}:
		defer func() { <-s.planning }()
	default:
		return nil, &BusyError{planners}
	}
	in := json.NewDecoder(inventory)
	in.DisallowUnknownFields()
	var inv rebalance.Inventory
	if err := in.Decode(&inv); err != nil {
		return nil, &rebalance.InventoryError{Where: "inventory", What: oneLine(err)}
	}
	if len(inv.Nodes) > mostPlanned || len(inv.Shards) > mostShards {
		return nil, &rebalance.InventoryError{Where: "inventory", What: fmt.Sprintf("%d nodes and %d shards, over %d and %d", len(inv.Nodes), len(inv.Shards), mostPlanned, mostShards)}
	}
	return rebalance.Make(&inv, *t)
}

// What an inventory may have: its memory is this process's, and so is the time that its plan takes.
const (
	mostPlanned = 500
	mostShards  = 16384
)

func oneLine(err error) string {
	var at *json.SyntaxError
	if errors.As(err, &at) {
		return fmt.Sprintf("no JSON after %d bytes", at.Offset)
	}
	return err.Error()
}
