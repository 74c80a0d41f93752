package admin

import "net/http"

// route is a pattern of http.ServeMux and the handler of the requests that match it.
type route struct {
	pattern string
	handler http.Handler
}

// routes returns all routes of the admin server.
func routes(service Service) []route {
	return []route{
		{"GET /control/ready", readiness(service)},
		{"GET /control/peers", textStatus(service.PeerStatus, "no --peers file is configured")},
		{"GET /control/zones", textStatus(service.ZoneStatus, "no --zones file is configured")},
		{"GET /control/turns", jsonStatus(service.DutyStatus, "no --turns file is configured")},
		{"GET /control/recovery", jsonStatus(service.RecoveryStatus, "neither --state nor --peers is configured")},
		{"GET /control/missing", jsonStatus(service.NegativeCacheStatus, "no --missing file is configured")},
		{"GET /metrics", service.Metrics()},
		{"POST /control/missing/forget", clearNegativeCache(service)},
		{"POST /control/moves/plan", planMigrations(service)},
		{"POST /control/zones/{zone}/{override}", overrideZone(service)},
		{"POST /control/out-of-service", serviceSwitch(service.OutOfService, "out of service from now on", "was out of service already")},
		{"POST /control/in-service", serviceSwitch(service.InService, "in service again", "was in service already")},
	}
}

// newHandler returns a handler that dispatches requests to all routes.
func newHandler(service Service) http.Handler {
	mux := http.NewServeMux()
	for _, r := range routes(service) {
		mux.Handle(r.pattern, r.handler)
	}
	return mux
}
