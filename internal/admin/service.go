package admin

import (
	"io"
	"net/http"
)

// Service is the interface through which the admin server reads the state of the proxy and changes it. Handlers call its
// methods from many goroutines at once. Except for [Service.PlanMigrations], no method may block, since the response is due
// within the write timeout of one request.
type Service interface {
	// Ready reports whether this process can serve clients, and gives the reason in one line.
	Ready() (ready bool, reason string)
	// OutOfService takes the proxy out of service, so that clients are drained. It reports whether the proxy was in
	// service before.
	OutOfService() (changed bool)
	// InService puts the proxy back in service, which ends the drain of clients. It reports whether the proxy was out of
	// service before.
	InService() (changed bool)
	// PeerStatus returns the gossip status as text, or "" if no peers are configured.
	PeerStatus() string
	// ZoneStatus returns the health of the zones as text, or "" if zone health is not configured.
	ZoneStatus() string
	// DutyStatus returns the status of the duty assignment for encoding as JSON, or nil if duties are not configured.
	DutyStatus() any
	// RecoveryStatus returns the stage of the recovery after a restart for encoding as JSON, or nil if the proxy has no
	// recovery stages.
	RecoveryStatus() any
	// NegativeCacheStatus returns the status of the negative cache for encoding as JSON, or nil if there is none.
	NegativeCacheStatus() any
	// ClearNegativeCache empties the negative cache of this process. An error gives the reason why it was not emptied.
	ClearNegativeCache() error
	// Metrics returns the handler that serves the metrics of the process.
	Metrics() http.Handler
	// PlanMigrations returns a plan of shard migrations for the inventory, for encoding as JSON, or nil without an error if
	// migrations are not configured. It may take a second.
	PlanMigrations(inventory io.Reader) (plan any, err error)
	// OverrideZone sets the override of a zone or region to "in", "out", "hold" or "auto". It replaces the override with the
	// given epoch, or the current one if epoch is negative. Only with force may the override leave no zone in. The text is
	// the response to the operator; an error gives the reason why nothing was changed.
	OverrideZone(zone, override string, epoch int64, force bool) (text string, err error)
}
