package proxy

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"woodproxy/internal/wire"
)

func TestInputClock(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var c inputClock
	if c.hasGap(at(0)) {
		t.Error("a connection that was never read has a gap")
	}
	c.readEnded(at(0)) // 100 bytes, of which 60 are processed
	c.consume(60)
	if got := c.arrival(); got != at(0) {
		t.Errorf("input that was read at once arrived at %v, want the time of the read", got.Sub(start))
	}
	if c.hasGap(at(4)) || !c.hasGap(at(5)) {
		t.Error("want a gap from 5 ms on")
	}
	c.gapEnded(at(100), 40, 50)
	c.readEnded(at(101))
	c.gapEnded(at(200), 90, 30) // the 90 bytes of before have been read, and 30 more have come
	c.readEnded(at(201))
	for _, step := range []struct {
		bytes int
		want  int // ms
	}{
		{40, 0},  // was in the buffer as the first gap began
		{1, 0},   // came during the first gap
		{49, 0},  // the last byte that came during it
		{1, 100}, // came during the second gap, or since the mark at its end
		{29, 100},
	} {
		c.consume(step.bytes)
		if got := c.arrival(); got != at(step.want) {
			t.Errorf("after %d bytes: arrived at %v, want %d ms", c.consumed, got.Sub(start), step.want)
		}
	}
	c.consume(1)
	if got := c.arrival(); got != at(201) {
		t.Errorf("input behind the last gap arrived at %v, want the time of the read", got.Sub(start))
	}
	if len(c.marks) != 0 {
		t.Errorf("got %d marks left, want none", len(c.marks))
	}
}

// However long the input waits, the marks stay few, and no estimate is later than the arrival.
func TestInputClockStaysSmall(t *testing.T) {
	const bytesPerMS, steps = 10, 5000
	start := time.Now()
	var c inputClock
	c.readEnded(start)
	for i := 1; i <= steps; i++ {
		now := start.Add(time.Duration(i) * minReadGap)
		received := int64(i) * bytesPerMS * minReadGap.Milliseconds()
		c.gapEnded(now, 0, int(received-c.consumed))
		c.consume(1)
		c.readEnded(now)
		arrived := start.Add(time.Duration(c.consumed/bytesPerMS) * time.Millisecond)
		if estimate := c.arrival(); estimate.After(arrived.Add(minReadGap)) {
			t.Fatalf("byte %d arrived %v after the start, estimate %v", c.consumed, arrived.Sub(start), estimate.Sub(start))
		}
	}
	if len(c.marks) > maxInputMarks+1 {
		t.Errorf("got %d marks, want at most %d", len(c.marks), maxInputMarks+1)
	}
}

// A command that waits behind others, in the read buffer or in the socket, is told to servers with the time that its client
// has left. Its whole time was told.
func TestTimeBehindOtherCommandsCountsInToldDeadline(t *testing.T) {
	const wait, slack = 1500 * time.Millisecond, 150 * time.Millisecond
	for name, before := range map[string]string{
		"in the buffer":                strings.Repeat("*1\r\n$1\r\nx\r\n", rejectionBurst+40),
		"in the socket":                strings.Repeat(fmt.Sprintf("*1\r\n$500\r\n%0500d\r\n", 0), rejectionBurst+40),
		"in the buffer and the socket": strings.Repeat(fmt.Sprintf("*1\r\n$100\r\n%0100d\r\n", 0), rejectionBurst+40),
	} {
		t.Run(name, func(t *testing.T) {
			cache, origin := newCache(t), newOrigin(t)
			p := newTestProxy(t, 200, defaultSettings, cache, origin)
			client := p.dial()
			send(t, client, getCommand("first", int(wait.Milliseconds())))
			cache.next(t).sendValue(t)
			sentAt := time.Now()
			send(t, client, before+getCommand("late", int(wait.Milliseconds())))
			go func() { _, _ = io.Copy(io.Discard, client) }() // until the connection ends
			late := cache.next(t)
			if waited := time.Since(sentAt); waited < 300*time.Millisecond {
				t.Fatalf("the command waited for %v only", waited)
			}
			facts, err := wire.ParseFacts([]byte(late.facts))
			if err != nil {
				t.Fatal(err)
			}
			left := time.Until(sentAt.Add(wait))
			if told := time.Duration(facts.WaitMilliseconds) * time.Millisecond; told > left+slack || told < left-slack {
				t.Errorf("told %v where the client has %v left", told, left)
			}
		})
	}
}
