// Package soak searches for bugs in the proxy: it draws scenarios with schedules of overlapping faults from seeds, runs
// them with real processes on loopback (package emulator), and judges each run by invariants alone. After a violation
// the scenario is run again with fewer and fewer faults, to find the fewest that still cause the violation.
//
// The proxies are built with fault injection below the program (package faultbuild). A plant is a bug that is
// deliberately built into the proxy to test that a check finds it; the list Plants has one for each check.
package soak
