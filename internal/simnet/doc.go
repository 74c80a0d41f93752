// Package simnet simulates fleets of proxies on an unreliable network in simulated time. Each proxy has a real replica
// instance, and in a zoned fleet also a real zonehealth instance. The simulation carries out their decisions.
//
// Datagrams are lost, duplicated and delayed; links are cut in one direction or both; processes are paused, stopped and
// restarted. The same configuration and seed give the same run. A fleet is not safe for concurrent use; different fleets
// are independent of each other.
package simnet
