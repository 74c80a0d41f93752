package recovery

// Status is the state of recovery for operators. It is encoded as JSON in the response to GET /control/recovery.
type Status struct {
	// Stage is the name of the current stage.
	Stage string `json:"stage"`
	// Reason is the reason why the current stage began.
	Reason string `json:"why"`
	// InStageMS is the time since the current stage began in milliseconds.
	InStageMS int64 `json:"for_ms"`
	// FullServiceAfterMS is the time from the start of the process until full service was first reached in milliseconds.
	// It is 0 until then, and at least 1 afterwards.
	FullServiceAfterMS int64 `json:"full_ms"`
	// StoredList is a text on whether the stored endpoint list was used, and why.
	StoredList string `json:"stored"`
	// DrainingEndpoints is the number of endpoints that received no requests at the start because of their status in the
	// state file.
	DrainingEndpoints int `json:"drained"`
	// Pauses is the number of times the process resumed after a pause.
	Pauses int `json:"returned"`
}
