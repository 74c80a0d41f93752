package server

import (
	"runtime"
	"testing"

	"woodproxy/replica"
	"woodproxy/zonehealth"
)

// listOf returns a msgpack map with one field, an array whose header announces 64 Mi elements and that has none.
func listOf(field byte) []byte { return []byte{0x81, 0xa1, field, 0xdd, 0x04, 0, 0, 0} }

// allocatedBy returns the number of bytes that a call allocates.
func allocatedBy(call func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	call()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// TestRowThatAnnouncesMoreThanItHoldsIsDropped guards against allocating memory for the announced length of an array in a
// peer's row, which may exceed the bytes of the row. Such a row is dropped.
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
				t.Errorf("got %d bytes allocated for a row of 8 bytes, want at most 1 MiB", n)
			}
		})
	}
}
