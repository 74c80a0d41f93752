package admin

import (
	"net/http"
	"time"
)

const maxInventoryBytes = 4 << 20

// planMigrations answers with a plan of shard migrations for the inventory in the body. Errors are answered as JSON too, with
// their type and figures, since scripts read them.
func planMigrations(service Service) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := extendDeadlines(w); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		plan, err := service.PlanMigrations(http.MaxBytesReader(w, r.Body, maxInventoryBytes))
		switch {
		case err != nil:
			writeJSON(w, http.StatusConflict, newErrorResponse(err))
		case plan == nil:
			writeJSON(w, http.StatusNotFound, errorResponse{Message: "no file of moves is named"})
		default:
			writeJSON(w, http.StatusOK, plan)
		}
	}
}

// extendDeadlines gives one call more time than the server gives calls: an inventory is large, and its plan takes a while.
func extendDeadlines(w http.ResponseWriter) error {
	controller, now := http.NewResponseController(w), time.Now()
	if err := controller.SetReadDeadline(now.Add(planReadTimeout)); err != nil {
		return err
	}
	return controller.SetWriteDeadline(now.Add(planWriteTimeout))
}
