package zonehealth

// Outcome is the outcome of an attempt at a cache, as far as it is evidence about a zone.
type Outcome uint8

const (
	// AnsweredInTime is an answer within the latency objective.
	AnsweredInTime Outcome = iota
	// AnsweredLate is an answer after the latency objective, or an error answer: the node is alive.
	AnsweredLate
	// Unanswered is a timeout, or a connection that broke.
	Unanswered
	// Cancelled is a cancelled attempt, which counts as unanswered only if it was overdue.
	Cancelled
	// NotSent is an attempt that was never sent, and is no evidence.
	NotSent
	// ConnectFailed is a connection that was refused or could not be opened.
	ConnectFailed
)
