package negativecache

// flushHold is the time after a flush in which the origin may still apply writes whose reports may have been lost.
// During the hold no absent keys are served, and at its end the table is flushed again.
type flushHold struct {
	active bool
	until  Time // end of the hold
}

// extend starts the hold, or extends it to the given time if that is later than its end.
func (h *flushHold) extend(until Time) {
	h.until = max(h.until, until)
	h.active = true
}

// expire ends the hold if it is over, and reports whether it did.
func (h *flushHold) expire(now Time) bool {
	if !h.active || now < h.until {
		return false
	}
	h.active = false
	return true
}
