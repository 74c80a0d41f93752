// Package server assembles one proxy process: it reads the configuration, starts the parts of the proxy, applies
// configuration reloads and shuts the process down.
//
// Read reads the configuration file and the other files of a proxy into a Config. Serve runs a proxy with it until a
// signal arrives. The command line calls each of them from one goroutine.
//
// The files, by concern:
//
//   - config.go, configreader.go, shadow.go: the JSON configuration file
//   - policyfile.go: common functions for the TOML files of zone health, duties, rebalancing and the negative cache;
//     each format is defined in a file of its own (zonehealthfile.go and so on)
//   - start.go, reload.go, shutdown.go: start, configuration reload and shutdown of the process
//   - listener.go, resources.go: the client listener, hot restart, and the limits that two processes share during one
//   - gossip.go, with zonehealth.go, duties.go and negativecache.go: rows exchanged with the other proxies
//   - admin.go, metrics.go, rebalance.go: the admin API for operators, over HTTP
//   - invariants.go: logging of invariant violations, and detection of steps of the wall clock
//   - restore.go, recovery.go, snapshot.go: the state file and the stages of recovery after a start
package server
