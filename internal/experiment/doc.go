// Package experiment runs scenarios of the emulator over variants of the proxy and of the scenario, writes one row of
// metrics for each run into a table, and compares and charts the variants of a table.
//
// Only cmd/emulator uses it. Nothing in it is safe for concurrent use; an experiment runs one scenario at a time.
package experiment
