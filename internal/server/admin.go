package server

import (
	"errors"
	"io"
	"sync/atomic"

	"woodproxy/internal/proxy"
	"woodproxy/recovery"
)

var (
	errNegativeCacheOff  = errors.New("no file of missing keys is named")
	errNegativeCacheBusy = errors.New("too busy to take it; ask again")
)

// adminService answers the calls of the admin API (admin.Service). Its methods may be called from any goroutine.
type adminService struct {
	clientListener *proxy.Listener
	gossip         *gossipAdapter
	counters       *proxy.Counters
	recovery       *recoveryTracker // nil: the process goes through no stages of recovery
	planner        *migrationPlanner
	stopping       atomic.Bool
}

// Ready tells whether this process serves clients, and why or in which state. Draining does not make it unready.
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
		if figures := s.recovery.figures(); figures.Stage != recovery.StageFull.String() {
			return true, "ready; " + figures.Stage + ", since " + figures.Reason
		}
	}
	return true, "ready"
}

// OutOfService starts draining clients; it tells whether that changed something.
func (s *adminService) OutOfService() (changed bool) { return s.clientListener.OutOfService() }

// InService ends draining; it tells whether that changed something.
func (s *adminService) InService() (changed bool) { return s.clientListener.InService() }

// PeerStatus returns the status of gossip; empty if it does not run.
func (s *adminService) PeerStatus() string { return s.gossip.statusText() }

// ZoneStatus returns the status of all zones; empty if they are not judged.
func (s *adminService) ZoneStatus() string { return s.gossip.zoneHealth.statusText() }

// OverrideZone applies an operator's order (in, out, hold, auto) to a zone or region, in place of the override of that
// epoch; below zero: whichever is in force. An error says why nothing has changed.
func (s *adminService) OverrideZone(name, want string, epoch int64, force bool) (string, error) {
	return s.gossip.zoneHealth.override(name, want, epoch, force)
}

// DutyStatus returns the figures of the duties module; nil if duties are not shared.
func (s *adminService) DutyStatus() any {
	if s.gossip.duties == nil {
		return nil
	}
	return s.gossip.duties.actor.Stats()
}

// RecoveryStatus returns the figures of recovery; nil if the process goes through no stages.
func (s *adminService) RecoveryStatus() any {
	if s.recovery == nil {
		return nil
	}
	return s.recovery.figures()
}

// NegativeCacheStatus returns the figures of the negative cache; nil if there is none.
func (s *adminService) NegativeCacheStatus() any {
	if s.gossip.negativeCache == nil {
		return nil
	}
	return s.gossip.negativeCache.actor.Stats()
}

// ClearNegativeCache clears the negative cache here; in other proxies its entries expire.
func (s *adminService) ClearNegativeCache() error {
	switch {
	case s.gossip.negativeCache == nil:
		return errNegativeCacheOff
	case !s.gossip.negativeCache.actor.Clear():
		return errNegativeCacheBusy
	}
	return nil
}

// PlanMigrations plans shard migrations by an inventory in JSON; nil and no error if no rebalance file is named.
func (s *adminService) PlanMigrations(inventory io.Reader) (any, error) {
	return s.planner.plan(inventory)
}
