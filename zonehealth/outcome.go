package zonehealth

// Ending is the outcome of an attempt at a cache, as far as it is evidence about a zone.
type Ending uint8

const (
	// Answered is an answer within the latency objective.
	Answered Ending = iota
	// Late is an answer after the latency objective, or an error answer: the node is alive.
	Late
	// Nothing is a timeout, or a connection that broke.
	Nothing
	// Undone is a cancelled attempt, which counts as unanswered only if it was overdue.
	Undone
	// Unknown is an attempt that was never sent, and is no evidence.
	Unknown
	// Shut is a connection that was refused or could not be opened.
	Shut
)
