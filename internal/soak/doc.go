// Package soak hunts for faults of the proxy: it draws scenarios and schedules of overlapping faults from seeds, plays
// them with real processes on loopback (package emulator), and judges by invariants alone. A violation is played again
// with fewer and fewer faults, until the fewest that still show it are left.
//
// The proxies are built with faults below the program (package faultbuild). To show that an invariant is not kept by
// chance a mistake can be planted in the program as it is built; the list of Plants has one for each.
package soak
