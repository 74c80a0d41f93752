package negativecache

// flushHold is the time after a flush in which the origin may still apply writes that were not reported. Absent keys
// are not served, and the table is flushed once more at the end.
type flushHold struct {
	active bool
	until  Time
}

// extend starts the hold, or has it last until an instant if that is later.
func (h *flushHold) extend(until Time) {
	h.until = max(h.until, until)
	h.active = true
}

// expire ends the hold if its time has come, and reports whether it did.
func (h *flushHold) expire(now Time) bool {
	if !h.active || now < h.until {
		return false
	}
	h.active = false
	return true
}
