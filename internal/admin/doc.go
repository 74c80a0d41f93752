// Package admin implements the admin server, an HTTP server for operators on an address of its own. It serves readiness,
// status and metrics, takes the proxy out of service and back, sets zone overrides and plans migrations.
//
// The admin server is separate from the data path. No handler waits for one of the proxy's actors, and the number of
// connections is limited regardless of the number of callers, so that neither slow nor hostile callers exhaust the resources
// that client requests need.
//
// Paths, JSON fields and response texts are a public interface of the program; golden tests pin them.
package admin
