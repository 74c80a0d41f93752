package server

import (
	"runtime"
	"testing"

	"woodproxy/replica"
	"woodproxy/zonehealth"
)

// listOf returns a msgpack map with one field, which announces a list of 64 Mi elements and holds none.
func listOf(field byte) []byte { return []byte{0x81, 0xa1, field, 0xdd, 0x04, 0, 0, 0} }

// allocatedBy returns how many bytes a call allocates.
func allocatedBy(call func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	call()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// A peer's row that announces more than it holds is dropped, and costs no more memory than its own bytes.
func TestRowThatAnnouncesMoreThanItHoldsIsDropped(t *testing.T) {
	const limit = 1 << 20 // bytes
	for _, test := range []struct {
		name    string
		receive func(row *replica.Row)
		field   byte
	}{
		{"keys", (&negativeCacheAdapter{}).receive, 'h'},
		{"unhealthy nodes of a zone", (&zoneHealthAdapter{config: &zonehealth.Settings{}}).receiveReport, 'i'},
		{"healthy nodes of a zone", (&zoneHealthAdapter{config: &zonehealth.Settings{}}).receiveReport, 'a'},
	} {
		t.Run(test.name, func(t *testing.T) {
			if n := allocatedBy(func() { test.receive(&replica.Row{Body: listOf(test.field)}) }); n > limit {
				t.Errorf("%d bytes are allocated for a row of 8", n)
			}
		})
	}
}
