// Package zonehealth decides when a fleet of proxies evacuates a whole zone of cache servers, and how it brings the
// zone back.
//
// Each proxy derives a vote on each zone, healthy or unhealthy, from the outcomes of its own attempts, and exchanges
// it with the other proxies by gossip. Enough unhealthy votes, counted by a proxy that reaches a majority of the
// proxies outside the zone, lead to a verdict with an epoch. A proxy first proposes a verdict; it acts on one that
// enough others propose or act on as well. An evacuated zone is left alone for a hold-down time and then receives its
// keys back by a recovery ramp.
//
// A proxy without peers, or cut off from most of them, may evacuate a zone for itself (standalone), on stronger
// evidence. Operators can override all of this for a zone.
//
// One controller decides for one proxy. Each of its methods reports one event, with the caller's clock. Those that lead
// to decisions return them in the order in which they have to be carried out, in a slice that the next call reuses.
// A controller starts no goroutines, does no I/O and has no locks: one goroutine at a time may call it. The same calls
// lead to the same decisions.
package zonehealth
