package recovery

// Figures is the state of recovery for operators: the JSON answer to GET /control/recovery.
type Figures struct {
	// Stage is the name of the stage, Why the reason of its start, and InStageMS the time since then in milliseconds.
	Stage     string `json:"stage"`
	Why       string `json:"why"`
	InStageMS int64  `json:"for_ms"`
	// FullMS is the time from the start of the process to the first full service in milliseconds, 0 before that.
	FullMS int64 `json:"full_ms"`
	// StoredList says whether the stored endpoint list was used, and why.
	StoredList string `json:"stored"`
	// Drained is the number of endpoints that got no requests at the start because of their status in the state file.
	Drained int `json:"drained"`
	// Pauses is how often the process went on after a pause.
	Pauses int `json:"returned"`
}
