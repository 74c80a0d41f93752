package admin

import (
	"io"
	"net/http"
)

// Service is what operators see of the proxy and do to it. The handlers call its methods from many goroutines at once. Except
// for [Service.Plan], none may block: an answer is due within the time of one call.
type Service interface {
	// Ready reports whether this process can serve, and why or why not in one line.
	Ready() (ready bool, reason string)
	// OutOfService sends clients away from now on. It reports whether that is a change.
	OutOfService() (changed bool)
	// InService accepts clients again. It reports whether that is a change.
	InService() (changed bool)
	// PeerStatus returns the status of the gossip with peers as text, "" where no peers are configured.
	PeerStatus() string
	// ZoneStatus returns the zones' health as text, "" where zones are not judged.
	ZoneStatus() string
	// DutyStatus returns the status of the duty assignment for encoding as JSON, nil where duties are not configured.
	DutyStatus() any
	// RecoveryStatus returns the stage of the recovery after a restart for encoding as JSON, nil where there are no stages.
	RecoveryStatus() any
	// NegativeCacheStatus returns the status of the negative cache for encoding as JSON, nil where there is none.
	NegativeCacheStatus() any
	// ClearNegativeCache empties the negative cache of this process. An error says why that can't be done.
	ClearNegativeCache() error
	// Metrics serves the metrics of the process.
	Metrics() http.Handler
	// PlanMigrations returns a plan of shard migrations for the inventory, for encoding as JSON; nil and no error where migrations are
	// not configured. It may take a second.
	PlanMigrations(inventory io.Reader) (plan any, err error)
	// OverrideZone sets the override of a zone or region to "in", "out", "hold" or "auto". It replaces the override of the given
	// epoch, whichever is current where the epoch is negative. Only with force may it leave no zone in. The text is the
	// answer to the operator; an error says why nothing has changed.
	OverrideZone(zone, override string, epoch int64, force bool) (text string, err error)
}
