package admin

import "net/http"

// readiness returns a handler that responds with the reason given by [Service.Ready], and with status 503 if the service is
// not ready.
func readiness(service Service) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		ready, reason := service.Ready()
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		writeText(w, reason+"\n")
	}
}

// textStatus returns a handler that responds with the text that status returns, or with 404 and notConfigured if the text is
// empty.
func textStatus(status func() string, notConfigured string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		text := status()
		if text == "" {
			http.Error(w, notConfigured, http.StatusNotFound)
			return
		}
		writeText(w, text)
	}
}

// jsonStatus returns a handler that responds with the value that status returns as JSON, or with 404 and notConfigured if
// the value is nil.
func jsonStatus(status func() any, notConfigured string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		value := status()
		if value == nil {
			http.Error(w, notConfigured, http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, value)
	}
}
