package zonehealth

// Settings are the settings of a controller. They do not change after [New].
type Settings struct {
	ProxyName, Zone   string // name of this proxy, and its zone, "" if the zone is unknown
	Regions           []Region
	ShortestObjective Time // shortest latency objective of all routes
	// SilenceTimeout is the time without a response from a zone, with unanswered attempts, that leads to an unhealthy
	// vote.
	SilenceTimeout Time
	// VoteFraction is the fraction (0 to 1] of the reachable proxies outside a zone whose unhealthy votes are required for
	// its evacuation. At least two votes are required.
	VoteFraction float64
	// ConfirmationTime is the time for which a zone must be suspected before it is evacuated. In this time the votes of
	// proxies that receive responses from the zone arrive.
	ConfirmationTime Time
	HoldDownTime     Time // hold-down time of an evacuated zone that does not flap
	MaxHoldDownTime  Time // maximum hold-down time of a zone that flaps
	RampStepTime     Time // minimum time between two steps of the recovery ramp
	SlowStartTime    Time // duration of the slow start of a node after its start
	// SlowStartInitialFraction is the fraction (0 to 1] of its normal load that a node sustains at the beginning of its
	// slow start.
	SlowStartInitialFraction float64
	WithoutPeers             bool // there are no peers: SetFleet has no effect
	StandaloneEnabled        bool // zones may be evacuated standalone
}

// Region is a group of zones that may be lost together. A zone is in at most one region.
type Region struct {
	Name  string
	Zones []string
}

// ZonesNamed returns the zones of the region with the given name. If there is no such region, it returns the name itself
// as the only zone.
func (s *Settings) ZonesNamed(name string) []string {
	for _, region := range s.Regions {
		if region.Name == name {
			return region.Zones
		}
	}
	return []string{name}
}
