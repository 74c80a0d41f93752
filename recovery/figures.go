package recovery

// Status is the state of recovery for operators: the JSON answer to GET /control/recovery.
type Status struct {
	// Stage is the name of the current stage.
	Stage string `json:"stage"`
	// Reason is the reason for which the stage began.
	Reason string `json:"why"`
	// InStageMS is the time since then in milliseconds.
	InStageMS int64 `json:"for_ms"`
	// FullServiceAfterMS is the time from the start of the process to the first full service in milliseconds, 0 before that.
	FullServiceAfterMS int64 `json:"full_ms"`
	// StoredList says whether the stored endpoint list was used, and why.
	StoredList string `json:"stored"`
	// DrainingEndpoints is the number of endpoints that got no requests at the start because of their status in the state file.
	DrainingEndpoints int `json:"drained"`
	// Pauses is how often the process went on after a pause.
	Pauses int `json:"returned"`
}
