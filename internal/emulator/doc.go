// Package emulator plays scenarios of a deployment on loopback addresses: real proxy processes serve among stand-ins for caches,
// the origin, service discovery and clients, faults are injected, and invariants are checked afterwards on what the stand-ins
// recorded. It shares no code with the proxy.
//
// A Scenario is what a file describes. Scenario.Draw settles by a seed every request and the targets of every fault, and
// Run runs the Plan that comes of it. What the stand-ins see goes into an EventLog, from which CheckInvariants finds the
// violations and the Report takes its figures.
//
// Processes have names by which link faults select them: n0 and on are proxies, c0 and on are caches, d0 and on the proxies'
// discovery agents, and "origin" is the origin.
package emulator
