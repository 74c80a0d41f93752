package recovery

import (
	"fmt"
	"time"
)

// EndpointStatus is the status of an endpoint in an endpoint list. The constants are ordered from the least to the most
// strict.
type EndpointStatus uint8

const (
	// EndpointReady is the status of an endpoint that accepts requests.
	EndpointReady EndpointStatus = iota
	// EndpointDraining is the status of an endpoint that is draining and receives no new requests.
	EndpointDraining
	// EndpointRemoved is the status of an endpoint that is no longer part of the fleet.
	EndpointRemoved
)

// Endpoint is one entry of an endpoint list.
type Endpoint struct {
	Name   string
	Status EndpointStatus
}

// EndpointList is an endpoint list with the version index that discovery assigned to it.
type EndpointList struct {
	Index     int64 // version, increasing
	Endpoints []Endpoint
}

// StoredEndpointList is the endpoint list from the state file.
type StoredEndpointList struct {
	EndpointList
	// SavedAt is the wall-clock time at which the list was saved.
	SavedAt time.Time
}

// Selection is the endpoint list to start with, and the endpoints in it that receive no requests.
type Selection struct {
	// UseStored is true if the proxy starts with the stored list, and false if it starts with the configured list.
	UseStored bool
	// Draining holds the names of the endpoints of the configured list that receive no requests because their status
	// in the stored list is stricter, in the order of the configured list. It is empty if the stored list is used.
	Draining []string
	// Reason is the reason for the selection, for the log and for operators.
	Reason string
}

// SelectEndpointList selects the stored or the configured endpoint list as the one to start with.
//
// The list with the higher index is selected. Indexes are compared rather than times because a wall clock can be set
// back. The stored list is not used if it is older than maxAge, or if its save time is in the future: the clock was set
// back, and the age of the list is unknown.
//
// If the stored list is not used, its stricter statuses still apply to the configured list, unless the configured list
// has the higher index: requests must not be sent to an endpoint that was set to draining. This includes lists with
// equal indexes, of which the configured one is selected.
func SelectEndpointList(stored StoredEndpointList, configured EndpointList, now time.Time, maxAge time.Duration) Selection {
	age := now.Sub(stored.SavedAt)
	draining := drainingByStored(stored.EndpointList, configured)
	// These texts are part of the response to GET /control/recovery.
	switch {
	case age < 0:
		return Selection{Draining: draining, Reason: fmt.Sprintf("saved %v in the future: only its drains apply", -age)}
	case age > maxAge:
		return Selection{Draining: draining, Reason: fmt.Sprintf("saved %v ago, over %v: only its drains apply",
			age.Round(time.Second), maxAge)}
	case stored.Index > configured.Index:
		return Selection{UseStored: true, Reason: fmt.Sprintf("stored %v ago at index %d, after the configuration's %d",
			age.Round(time.Second), stored.Index, configured.Index)}
	default:
		return Selection{Draining: draining, Reason: fmt.Sprintf("stored %v ago at index %d, and the configuration has %d",
			age.Round(time.Second), stored.Index, configured.Index)}
	}
}

// drainingByStored returns the names of the configured endpoints whose status is stricter in the stored list. It returns
// nil if the stored list has the lower index.
func drainingByStored(stored, configured EndpointList) []string {
	if stored.Index < configured.Index {
		return nil
	}
	storedStatus := make(map[string]EndpointStatus, len(stored.Endpoints))
	for _, endpoint := range stored.Endpoints {
		storedStatus[endpoint.Name] = endpoint.Status
	}
	var draining []string
	for _, endpoint := range configured.Endpoints {
		if storedStatus[endpoint.Name] > endpoint.Status {
			draining = append(draining, endpoint.Name)
		}
	}
	return draining
}
