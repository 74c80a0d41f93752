package admin

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
)

// maxIgnoredBodyBytes is how much of a body is read and dropped where a call takes none.
const maxIgnoredBodyBytes = 4 << 10

// serviceSwitch changes whether the proxy is in service, and answers with one of two lines: that it is changed, or that there
// was nothing to change.
func serviceSwitch(change func() (changed bool), changed, unchanged string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxIgnoredBodyBytes)); err != nil {
			http.Error(w, "the call takes no body", http.StatusRequestEntityTooLarge)
			return
		}
		answer := unchanged
		if change() {
			answer = changed
		}
		writeText(w, answer+"\n")
	}
}

// clearNegativeCache empties the negative cache of this process.
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
	// forcePhrase is what the operator has to write out for an override that leaves no zone in.
	forcePhrase = "leave no zone"
	// anyEpoch stands for whichever override is current.
	anyEpoch = -1
)

// overrideZone sets the override of the zone in the path.
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

// parseEpoch returns the epoch of the override to replace, anyEpoch where the query has none.
func parseEpoch(query url.Values) (int64, error) {
	text := query.Get("epoch")
	if text == "" {
		return anyEpoch, nil
	}
	epoch, err := strconv.ParseInt(text, 10, 64)
	if err != nil || epoch < 0 {
		return 0, fmt.Errorf("epoch: %q: no number of an order", text)
	}
	return epoch, nil
}

// parseForce reports whether the query has the words that force an override.
func parseForce(query url.Values) (bool, error) {
	switch text := query.Get("force"); text {
	case "":
		return false, nil
	case forcePhrase:
		return true, nil
	default:
		return false, fmt.Errorf("force: %q: it takes the words %q", text, forcePhrase)
	}
}
