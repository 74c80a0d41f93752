package recovery

// Figures is the state of recovery for operators: the JSON answer to GET /control/recovery.
type Figures struct {
	// Stage is the name of the current stage.
	Stage string `json:"stage"`
	// Why is the reason for which the stage began.
	Why string `json:"why"`
	// InStageMS is the time since then in milliseconds.
	InStageMS int64 `json:"for_ms"`
	// FullMS is the time from the start of the process to the first full service in milliseconds, 0 before that.
	FullMS int64 `json:"full_ms"`
	// StoredList says whether the stored endpoint list was used, and why.
	StoredList string `json:"stored"`
	// Drained is the number of endpoints that got no requests at the start because of their status in the state file.
	Drained int `json:"drained"`
	// Pauses is how often the process went on after a pause.
	Pauses int `json:"returned"`
}
