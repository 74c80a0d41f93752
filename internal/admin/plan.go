package admin

import (
	"net/http"
	"time"
)

// maxInventoryBytes is the maximum length of the inventory in a request body.
const maxInventoryBytes = 4 << 20

// planMigrations returns a handler that responds with a plan of shard migrations for the inventory in the request body.
// Errors are JSON too, with their type and fields, since scripts read them.
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
			writeJSON(w, http.StatusNotFound, errorResponse{Message: "no --moves file is configured"})
		default:
			writeJSON(w, http.StatusOK, plan)
		}
	}
}

// extendDeadlines sets longer deadlines for one request than the server's own, since an inventory is large and planning
// takes long.
func extendDeadlines(w http.ResponseWriter) error {
	controller, now := http.NewResponseController(w), time.Now()
	if err := controller.SetReadDeadline(now.Add(planReadTimeout)); err != nil {
		return err
	}
	return controller.SetWriteDeadline(now.Add(planWriteTimeout))
}
