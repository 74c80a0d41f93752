package admin

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
)

// maxIgnoredBodyBytes is the largest request body that a handler without a body reads and discards.
const maxIgnoredBodyBytes = 4 << 10

// serviceSwitch returns a handler that takes the proxy out of service or puts it back in service by calling change. The
// response is the line changed if change reports true, and the line unchanged otherwise.
func serviceSwitch(change func() (changed bool), changed, unchanged string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxIgnoredBodyBytes)); err != nil {
			http.Error(w, "the call takes no body", http.StatusRequestEntityTooLarge)
			return
		}
		line := unchanged
		if change() {
			line = changed
		}
		writeText(w, line+"\n")
	}
}

// clearNegativeCache returns a handler that empties the negative cache of this process.
func clearNegativeCache(service Service) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := service.ClearNegativeCache(); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		writeText(w, "forgotten here\n")
	}
}

const (
	// forcePhrase is the value of the query parameter force. An operator has to write it out to set an override that leaves
	// no zone in.
	forcePhrase = "leave no zone"
	// anyEpoch is the epoch that selects the current override, whatever its epoch is.
	anyEpoch = -1
)

// overrideZone returns a handler that sets the override of the zone in the path.
func overrideZone(service Service) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		epoch, err := parseEpoch(query)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		force, err := parseForce(query)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		text, err := service.OverrideZone(r.PathValue("zone"), r.PathValue("override"), epoch, force)
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		writeText(w, text)
	}
}

// parseEpoch returns the epoch of the override to replace, or anyEpoch if the query has none. It fails if the epoch is not
// a non-negative integer.
func parseEpoch(query url.Values) (int64, error) {
	text := query.Get("epoch")
	if text == "" {
		return anyEpoch, nil
	}
	epoch, err := strconv.ParseInt(text, 10, 64)
	if err != nil || epoch < 0 {
		return 0, fmt.Errorf("epoch: %q: not a valid epoch", text)
	}
	return epoch, nil
}

// parseForce reports whether the query has forcePhrase as its parameter force. Any other non-empty value is an error.
func parseForce(query url.Values) (bool, error) {
	switch text := query.Get("force"); text {
	case "":
		return false, nil
	case forcePhrase:
		return true, nil
	default:
		return false, fmt.Errorf("force: %q: not the phrase %q", text, forcePhrase)
	}
}
