package zonehealth

// Terms are the settings of a controller, fixed at its start.
type Terms struct {
	Me, Zone string // name of this proxy, and its zone, "" where that is not known
	Regions  []Region
	Shortest Time    // the shortest latency objective of all routes
	Quiet    Time    // silence timeout: no answer from a zone for so long, with unanswered attempts, is an unhealthy vote
	Voices   float64 // share (0 to 1] of the reachable proxies outside a zone that have to vote against it, two at least
	Settle   Time    // confirmation time of a suspicion, in which the votes of proxies that get answers arrive
	Hold     Time    // hold-down time of an evacuated zone that does not flap
	MostHold Time    // the longest hold-down time of a zone that flaps
	Step     Time    // minimum time between two steps of the recovery ramp
	Cold     Time    // slow-start time of a node after its start
	ColdFrom float64 // share (0 to 1] of its work that a node bears at the beginning of its slow start
	Apart    bool    // there are no peers: the fleet's members are ignored
	Alone    bool    // without peers, or cut off from most of them, evacuate zones standalone
}

// Region is a group of zones that may be lost together. A zone is in one region at most.
type Region struct {
	Name  string
	Zones []string
}

// Zones returns the zones that a name stands for: those of the region of that name, else the zone itself.
func (t *Terms) Zones(name string) []string {
	for _, region := range t.Regions {
		if region.Name == name {
			return region.Zones
		}
	}
	return []string{name}
}
