// Package zonehealth decides when a fleet of proxies evacuates a whole zone of cache servers, and how the zone returns
// to service.
//
// Each proxy derives a vote on each zone, healthy or unhealthy, from the outcomes of its own attempts, and exchanges
// its votes with the other proxies by gossip. Enough unhealthy votes, counted by a proxy that reaches a majority of the
// proxies outside the zone, lead to a verdict with an epoch. A proxy first proposes a verdict, and acts on the verdict
// once enough other proxies propose it or act on it as well. An evacuated zone receives no requests during a hold-down
// time. After that a recovery ramp returns its keys in steps.
//
// A proxy that has no peers, or is cut off from most of them, may evacuate a zone for itself only (standalone), which
// requires stronger evidence. Operators can override the decisions for a zone.
//
// Each proxy has one [Controller]. Each method of it takes one event, with the time of the caller's clock. A method
// that can lead to decisions returns them in the order in which the caller must apply them, in a slice that the next
// call reuses. A controller starts no goroutines, does no I/O and has no locks: only one goroutine may call it at a
// time. The same sequence of calls leads to the same decisions.
package zonehealth
