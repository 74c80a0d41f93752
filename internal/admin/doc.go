// Package admin serves the operators' HTTP calls at an address of their own: health, status, metrics, taking the proxy out of
// service, zone overrides and migration plans.
//
// It is kept apart from the data path. No call waits for one of the proxy's actors, and the number of connections is bounded
// however many callers there are, so that neither slow nor hostile callers can use up what clients' requests need.
//
// Paths, JSON fields and the texts of answers are an interface of the program and are pinned by golden tests.
package admin
