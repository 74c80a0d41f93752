package zonehealth

// Outcome is the outcome of an attempt at a cache server, as evidence about its zone.
type Outcome uint8

const (
	// AnsweredInTime is a response within the latency objective.
	AnsweredInTime Outcome = iota
	// AnsweredLate is a response after the latency objective, or an error response. The node is alive.
	AnsweredLate
	// Unanswered is a timeout or a broken connection.
	Unanswered
	// Canceled is a canceled attempt. It counts as unanswered only if it was overdue.
	Canceled
	// NotSent is an attempt that was never sent. It is no evidence about the zone.
	NotSent
	// ConnectFailed is a connection that was refused or could not be opened. It counts as unanswered.
	ConnectFailed
)
