package server

import (
	"errors"
	"io"
	"sync/atomic"

	"woodproxy/internal/proxy"
	"woodproxy/recovery"
)

var (
	errNegativeCacheOff  = errors.New("no --missing file is configured")
	errNegativeCacheBusy = errors.New("too busy to clear the negative cache; try again")
)

// adminService handles the calls of the admin API (admin.Service). Its methods may be called from any goroutine.
type adminService struct {
	clientListener *proxy.Listener
	gossip         *gossipAdapter
	counters       *proxy.Counters
	recovery       *recoveryTracker // nil: recovery is not tracked
	planner        *migrationPlanner
	stopping       atomic.Bool
}

// Ready reports whether this process serves clients, and its state in one line. A process that is out of
// service is ready until it stops.
func (s *adminService) Ready() (ready bool, reason string) {
	switch {
	case s.stopping.Load():
		return false, "stopping"
	case !s.clientListener.Opened():
		return false, "starting"
	}
	if s.gossip.catchingUp() {
		return true, "ready; catching up with peers"
	}
	if s.recovery != nil {
		if status := s.recovery.status(); status.Stage != recovery.StageFull.String() {
			return true, "ready; " + status.Stage + ", since " + status.Reason
		}
	}
	return true, "ready"
}

// OutOfService starts a drain of clients. It returns false if a drain is already in progress.
func (s *adminService) OutOfService() (changed bool) { return s.clientListener.OutOfService() }

// InService ends the drain. It returns false if there was none.
func (s *adminService) InService() (changed bool) { return s.clientListener.InService() }

// PeerStatus returns the status of gossip; it is empty if gossip does not run.
func (s *adminService) PeerStatus() string { return s.gossip.statusText() }

// ZoneStatus returns the status of all zones; it is empty if zone health is not configured.
func (s *adminService) ZoneStatus() string { return s.gossip.zoneHealth.statusText() }

// OverrideZone applies an operator's override (in, out, hold, auto) to a zone or to each zone of a region. It replaces
// the override with the given epoch, or the current override if the epoch is negative. An error states why it
// was not applied.
func (s *adminService) OverrideZone(name, want string, epoch int64, force bool) (string, error) {
	return s.gossip.zoneHealth.override(name, want, epoch, force)
}

// DutyStatus returns the statistics of the duties module; nil if duties are not shared.
func (s *adminService) DutyStatus() any {
	if s.gossip.duties == nil {
		return nil
	}
	return s.gossip.duties.actor.Stats()
}

// RecoveryStatus returns the status of recovery; nil if recovery is not tracked.
func (s *adminService) RecoveryStatus() any {
	if s.recovery == nil {
		return nil
	}
	return s.recovery.status()
}

// NegativeCacheStatus returns the statistics of the negative cache; nil if there is no negative cache.
func (s *adminService) NegativeCacheStatus() any {
	if s.gossip.negativeCache == nil {
		return nil
	}
	return s.gossip.negativeCache.actor.Stats()
}

// ClearNegativeCache clears the negative cache of this proxy. In the other proxies the entries stay until they expire.
// It fails if there is no negative cache, or if its actor is too busy.
func (s *adminService) ClearNegativeCache() error {
	switch {
	case s.gossip.negativeCache == nil:
		return errNegativeCacheOff
	case !s.gossip.negativeCache.actor.Clear():
		return errNegativeCacheBusy
	}
	return nil
}

// PlanMigrations plans shard migrations for an inventory in JSON. It returns nil and no error if no rebalance file is
// configured.
func (s *adminService) PlanMigrations(inventory io.Reader) (any, error) {
	return s.planner.plan(inventory)
}
