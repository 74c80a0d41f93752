package proxy

import "time"

const (
	// minReadGap is the time without reading after which the input of a connection may have waited.
	minReadGap = 5 * time.Millisecond
	// maxInputMarks is the number of marks from which on every other one is dropped.
	maxInputMarks = 64
)

// inputClock estimates when bytes of a client connection arrived that were not read at once: reading stops while many
// replies are pending, while a reply is written, and while commands come at too high a rate. A client's deadline counts
// from its last byte, wherever that waits.
type inputClock struct {
	consumed   int64       // bytes of the input that have been processed
	lastReadAt time.Time   // end of the latest read; zero: nothing has been read
	marks      []inputMark // known states of the input since it began to wait, in order
	notBefore  time.Time   // time of the latest mark that consumed has passed; zero: none
}

// inputMark says how many bytes of the input had been received at a time, at least.
type inputMark struct {
	at       time.Time
	received int64
}

// readEnded records that a read has ended.
func (c *inputClock) readEnded(now time.Time) { c.lastReadAt = now }

// hasGap reports whether nothing was read for so long that input may have waited.
func (c *inputClock) hasGap(now time.Time) bool {
	return !c.lastReadAt.IsZero() && now.Sub(c.lastReadAt) >= minReadGap
}

// gapEnded records, right before a read, the bytes that have been read and not processed, and those that have not been read.
func (c *inputClock) gapEnded(now time.Time, buffered, unread int) {
	if unread == 0 {
		return
	}
	read := c.consumed + int64(buffered)
	c.mark(inputMark{c.lastReadAt, read})
	c.mark(inputMark{now, read + int64(unread)})
}

func (c *inputClock) mark(mark inputMark) {
	if n := len(c.marks); n > 0 && c.marks[n-1].received >= mark.received {
		return
	}
	if len(c.marks) >= maxInputMarks {
		kept := c.marks[:0]
		for i := 1; i < len(c.marks); i += 2 {
			kept = append(kept, c.marks[i])
		}
		c.marks = kept
	}
	c.marks = append(c.marks, mark)
}

// consume records that n more bytes have been processed.
func (c *inputClock) consume(n int) {
	c.consumed += int64(n)
	passed := 0
	for passed < len(c.marks) && c.marks[passed].received < c.consumed {
		c.notBefore = c.marks[passed].at
		passed++
	}
	if passed == 0 {
		return
	}
	if c.marks = c.marks[passed:]; len(c.marks) == 0 {
		c.notBefore = time.Time{}
	}
}

// arrival returns the earliest time at which the last processed byte can have arrived, or the time of the latest read if
// it was read as it arrived.
func (c *inputClock) arrival() time.Time {
	switch {
	case len(c.marks) == 0:
		return c.lastReadAt
	case c.notBefore.IsZero():
		return c.marks[0].at
	}
	return c.notBefore
}
