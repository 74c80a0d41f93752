package admin

import "net/http"

// readiness answers with the reason of the service's readiness, and with 503 unless it is ready.
func readiness(service Service) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		ready, reason := service.Ready()
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		writeText(w, reason+"\n")
	}
}

// textStatus answers with the text of a part of the proxy, and with 404 and the given error where that part is not configured.
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

// jsonStatus answers with the status of a part of the proxy as JSON, and with 404 and the given error where that part is not
// configured.
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
