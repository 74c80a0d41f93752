package zonehealth

import (
	"math"
	"slices"
)

const (
	minVotes          = 2  // that it takes to move the fleet, however small it is
	maxVotes          = 16 // that it takes at most, however large it is
	maxVerdictBackers = 2  // peers acting on a verdict that it takes to follow them
)

// Proxy is a member of the fleet, as replication knows it.
type Proxy struct {
	Name, Zone string
	Reachable  bool // a heartbeat has arrived lately
	Departed   bool // its process is known to have ended
}

// fleetView is what this proxy knows of the fleet, itself included. It is empty where there are no peers.
type fleetView struct {
	proxies    []Proxy
	reachable  map[string]string // zone by name of the proxies that are reachable
	catchingUp bool              // this proxy has not yet all state of its peers
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

// limitToPeers is n, or as many as there are reachable peers where these are fewer.
func (f *fleetView) limitToPeers(n int) int { return min(n, len(f.reachable)-1) }

// quorumView counts the proxies outside a zone or region.
type quorumView struct {
	reachable int
	zones     int // that the reachable proxies are in
	known     int // that have not departed
}

// quorumOutside counts the proxies whose zone is not within a zone or region.
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

// updateQuorum counts the proxies outside a zone, and outside its region.
func (c *Controller) updateQuorum(z *zone) {
	z.outsideZone = c.fleet.quorumOutside(func(name string) bool { return name == z.name })
	if z.region != nil {
		z.outsideRegion = c.fleet.quorumOutside(func(name string) bool { return slices.Contains(z.region.Zones, name) })
	}
}

// hasQuorum reports whether this proxy reaches a majority of the proxies that can evaluate a zone. One that does not may
// be cut off itself.
func (c *Controller) hasQuorum(z *zone) bool {
	return !c.fleet.catchingUp && z.outsideZone.known >= 2 && 2*z.outsideZone.reachable > z.outsideZone.known
}

// requiredVotes is how many of the reachable proxies it takes to move the fleet.
func (c *Controller) requiredVotes(reachable int) int {
	return min(max(minVotes, int(math.Ceil(c.settings.VoteShare*float64(reachable)))), maxVotes)
}

// SetFleet takes the members of the fleet, this proxy included, and whether it is still catching up with their state. It
// keeps the slice. Where the settings say that there are no peers it does nothing.
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
