// Package server assembles one proxy process: it reads the configuration, starts the parts of the proxy, applies
// configuration reloads and shuts the process down.
//
// Read turns the configuration file and the files named beside it into a Config. Serve runs a proxy from it until a
// signal arrives. Both are called by the command line, from one goroutine each.
//
// The files, by concern:
//
//   - config.go, configreader.go, shadow.go: the JSON configuration file
//   - policyfile.go: what the TOML files of zone health, duties, rebalancing and the negative cache have in common;
//     each format stands in the file named after it (zonehealthfile.go and so on)
//   - start.go, reload.go, shutdown.go: the life of the process
//   - listener.go, resources.go: the client listener, hot restart, and the limits that two processes share meanwhile
//   - gossip.go, with zonehealth.go, duties.go and negativecache.go: rows exchanged with the other proxies
//   - admin.go, metrics.go, rebalance.go: what operators call over HTTP
//   - restore.go, recovery.go, snapshot.go: the state file and the stages of recovery after a start
package server
