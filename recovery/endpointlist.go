package recovery

import (
	"fmt"
	"time"
)

// EndpointStatus is the status of an endpoint on a list. A later constant is stricter.
type EndpointStatus uint8

const (
	// EndpointReady endpoints take requests.
	EndpointReady EndpointStatus = iota
	// EndpointDraining endpoints are draining: they get no new requests.
	EndpointDraining
	// EndpointRemoved endpoints are no longer part of the fleet.
	EndpointRemoved
)

// Endpoint is one endpoint of a list.
type Endpoint struct {
	Name   string
	Status EndpointStatus
}

// EndpointList is an endpoint list with its version, as discovery numbers it.
type EndpointList struct {
	Index     int64
	Endpoints []Endpoint
}

// StoredEndpointList is the endpoint list of the state file.
type StoredEndpointList struct {
	EndpointList
	// SavedAt is when it was stored, by the wall clock of that time.
	SavedAt time.Time
}

// Selection says which endpoint list to start with, and which of its endpoints get no requests.
type Selection struct {
	// UseStored is true if the stored list is the one to start with, false for the configured one.
	UseStored bool
	// Draining names the endpoints of the configured list that get no requests, because the stored list has them in a
	// stricter status. In the order of the configured list; always empty if the stored list is used.
	Draining []string
	// Reason is the reason, for the log and for operators.
	Reason string
}

// SelectEndpointList chooses the endpoint list to start with: the stored one or the configured one.
//
// The higher index wins, since wall clocks can be set back. A stored list is not used if it is older than maxAge, or if
// its time lies in the future, which means that the clock was set back and its age is unknown. In both cases its
// statuses still count, unless the configured list has a higher index: requests must not go to an endpoint that was
// told to drain. The same holds for lists of the same index.
func SelectEndpointList(stored StoredEndpointList, configured EndpointList, now time.Time, maxAge time.Duration) Selection {
	age := now.Sub(stored.SavedAt)
	drained := drainedByStored(stored.EndpointList, configured)
	// Operators see these texts in the answer to GET /control/recovery.
	switch {
	case age < 0:
		return Selection{Draining: drained, Reason: fmt.Sprintf("stored %v from now by this clock: its drains alone count", -age)}
	case age > maxAge:
		return Selection{Draining: drained, Reason: fmt.Sprintf("stored %v ago, over %v: its drains alone count",
			age.Round(time.Second), maxAge)}
	case stored.Index > configured.Index:
		return Selection{UseStored: true, Reason: fmt.Sprintf("stored %v ago at index %d, after the configuration's %d",
			age.Round(time.Second), stored.Index, configured.Index)}
	default:
		return Selection{Draining: drained, Reason: fmt.Sprintf("stored %v ago at index %d, and the configuration has %d",
			age.Round(time.Second), stored.Index, configured.Index)}
	}
}

// drainedByStored returns the names of the configured endpoints that have a stricter status in the stored list, none if
// that is the older one.
func drainedByStored(stored, configured EndpointList) []string {
	if stored.Index < configured.Index {
		return nil
	}
	storedStatus := make(map[string]EndpointStatus, len(stored.Endpoints))
	for _, endpoint := range stored.Endpoints {
		storedStatus[endpoint.Name] = endpoint.Status
	}
	var drained []string
	for _, endpoint := range configured.Endpoints {
		if storedStatus[endpoint.Name] > endpoint.Status {
			drained = append(drained, endpoint.Name)
		}
	}
	return drained
}
