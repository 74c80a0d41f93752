// Package emulator runs scenarios of a deployment on loopback addresses. Real proxy processes serve requests between
// stand-ins for caches, the origin, service discovery and clients while faults are injected. Afterwards invariants are
// checked on the events that the stand-ins recorded. The package shares no code with the proxy.
//
// A Scenario is read from a file. Scenario.NewPlan draws all requests and the targets of all faults from a seed, and Run
// executes the resulting Plan. The stand-ins record events in an EventLog. CheckInvariants derives the violations from these
// events, and the Report its figures.
//
// Link faults select processes by name: n0, n1, ... are proxies, c0, c1, ... are caches, d0, d1, ... are the proxies'
// discovery agents, and "origin" is the origin.
package emulator
