// Package simnet simulates fleets of proxies on an unreliable network, in simulated time: each proxy has a real
// replica instance, and in a zoned fleet a real zonehealth instance, whose decisions the simulation carries out.
//
// Datagrams are lost, duplicated and delayed; links are cut in one direction or both; processes are paused, stopped and
// started again. The same configuration and seed give the same run. Nothing in the package is safe for concurrent use;
// fleets are independent of each other.
package simnet
