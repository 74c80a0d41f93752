package gossip

import (
	"errors"
	"fmt"

	"woodproxy/internal/rowcodec"

	"woodproxy/internal/wire"
	"woodproxy/replica"

	"github.com/vmihailenco/msgpack/v5"
)

// errInvalidEndpoint is the error for an endpoint row whose body has another name than the row, or a ready endpoint without
// an address.
var errInvalidEndpoint = errors.New("invalid endpoint row")

// endpointRows returns rows for endpoints from this proxy's discovery service. It counts and omits endpoints that can't be
// encoded.
func (a *Agent) endpointRows(endpoints []wire.Endpoint) []replica.Row {
	rows := make([]replica.Row, 0, len(endpoints))
	for i := range endpoints {
		row, err := encodeEndpoint(&endpoints[i])
		if err != nil {
			a.Dropped.Add(1)
			continue
		}
		rows = append(rows, row)
	}
	return rows
}

func encodeEndpoint(endpoint *wire.Endpoint) (replica.Row, error) {
	body, err := msgpack.Marshal(endpoint)
	if err != nil {
		return replica.Row{}, fmt.Errorf("encoding endpoint %q: %w", endpoint.Name, err)
	}
	return replica.Row{Key: endpoint.Name, Rank: endpointRank(endpoint), Sequence: endpoint.StartedAtUnixMilli, Body: body}, nil
}

// endpointRank returns the rank of an endpoint's row. It is higher the more strictly the endpoint is excluded from requests:
// of two rows with the same index of the endpoint list, the one with the higher rank wins.
func endpointRank(endpoint *wire.Endpoint) uint8 {
	switch {
	case endpoint.Ready:
		return replica.EndpointActive
	case endpoint.Departed:
		return replica.EndpointRemoved
	default:
		return replica.EndpointDraining
	}
}

// decodeEndpoint returns the endpoint of a row. A row has no body if the endpoint was absent from a complete endpoint list.
func decodeEndpoint(row *replica.Row) (wire.Endpoint, error) {
	endpoint := wire.Endpoint{Name: row.Key}
	if len(row.Body) > 0 {
		if err := rowcodec.Decode(row.Body, &endpoint); err != nil {
			return wire.Endpoint{}, fmt.Errorf("decoding endpoint %q: %w", row.Key, err)
		}
		if endpoint.Name != row.Key || endpoint.Ready && endpoint.Address == "" {
			return wire.Endpoint{}, fmt.Errorf("%w: %q", errInvalidEndpoint, row.Key)
		}
	}
	endpoint.Ready, endpoint.Departed = row.Rank == replica.EndpointActive, row.Rank >= replica.EndpointRemoved
	return endpoint, nil
}
