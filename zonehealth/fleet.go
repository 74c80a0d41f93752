package zonehealth

import (
	"math"
	"slices"
)

const (
	minVotes          = 2  // minimum number of required votes, however small the fleet
	maxVotes          = 16 // maximum number of required votes, however large the fleet
	maxVerdictBackers = 2  // peers that must act on a verdict before this proxy follows them; all reachable ones if fewer
)

// Proxy is a member of the fleet, as reported by replication.
type Proxy struct {
	Name, Zone string
	Reachable  bool // a heartbeat has arrived recently
	Departed   bool // its process is known to have ended
}

// fleetView is the fleet as seen by this proxy, including itself. It is empty if there are no peers.
type fleetView struct {
	proxies    []Proxy
	reachable  map[string]string // zones of the reachable proxies by proxy name
	catchingUp bool              // this proxy has not yet received all state of its peers
}

func newFleetView() fleetView { return fleetView{reachable: map[string]string{}} }

func (f *fleetView) update(proxies []Proxy, catchingUp bool) {
	f.proxies, f.catchingUp = proxies, catchingUp
	clear(f.reachable)
	for _, p := range proxies {
		if p.Reachable {
			f.reachable[p.Name] = p.Zone
		}
	}
}

func (f *fleetView) hasPeers() bool { return len(f.reachable) > 1 }

// limitToPeers returns n, or the number of reachable peers if it is lower.
func (f *fleetView) limitToPeers(n int) int { return min(n, len(f.reachable)-1) }

// quorumView counts the proxies outside a zone or region.
type quorumView struct {
	reachable int
	zones     int // number of zones of the reachable proxies
	known     int // proxies that have not departed
}

// quorumOutside counts the proxies for whose zone within returns false.
func (f *fleetView) quorumOutside(within func(zone string) bool) quorumView {
	var view quorumView
	var zones []string
	for _, p := range f.proxies {
		if p.Departed || within(p.Zone) {
			continue
		}
		view.known++
		if p.Reachable {
			view.reachable++
			zones = appendMissing(zones, p.Zone)
		}
	}
	view.zones = len(zones)
	return view
}

// updateQuorum counts the proxies outside a zone and those outside its region.
func (c *Controller) updateQuorum(z *zone) {
	z.outsideZone = c.fleet.quorumOutside(func(name string) bool { return name == z.name })
	if z.region != nil {
		z.outsideRegion = c.fleet.quorumOutside(func(name string) bool { return slices.Contains(z.region.Zones, name) })
	}
}

// hasQuorum reports whether this proxy reaches a majority of the proxies outside a zone, which are the ones that vote on
// it. A proxy that does not reach a majority may itself be cut off.
func (c *Controller) hasQuorum(z *zone) bool {
	return !c.fleet.catchingUp && z.outsideZone.known >= 2 && 2*z.outsideZone.reachable > z.outsideZone.known
}

// requiredVotes returns the number of votes or proposals required for a decision of the fleet, given the number of
// reachable proxies.
func (c *Controller) requiredVotes(reachable int) int {
	return min(max(minVotes, int(math.Ceil(c.settings.VoteFraction*float64(reachable)))), maxVotes)
}

// SetFleet sets the members of the fleet, including this proxy, and whether this proxy is still catching up with the
// state of its peers. It retains the slice. It has no effect if Settings.WithoutPeers is set.
func (c *Controller) SetFleet(now Time, proxies []Proxy, catchingUp bool) {
	c.begin(now)
	if c.settings.WithoutPeers {
		return
	}
	c.fleet.update(proxies, catchingUp)
	for _, z := range c.zones {
		c.updateQuorum(z)
	}
}
