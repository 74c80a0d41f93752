package replica

// Settings configures a replica.
type Settings struct {
	Name           string  // name of this proxy, unique in the fleet
	Incarnation    int64   // incarnation of this process, higher than that of any earlier process of this name
	FleetSize      int     // configured size of the fleet, this proxy included
	Address        string  // host:port at which peers reach this proxy
	Zone           string  // zone in which this proxy runs; "" if unknown
	TakeoverDelay  Time    // delay before the quota of a departed proxy is taken over
	QuotaFloor     float64 // fraction of an even share, 0 to 1, that is never taken over and is usable before confirmation
	ObservationTTL Time    // time to live of a health observation
}
