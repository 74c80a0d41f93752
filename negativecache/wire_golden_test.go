package negativecache_test

import (
	"testing"

	"woodproxy/negativecache"
)

// Reports are the bodies of the gossip rows of written and of absent keys.
func TestReportEncodingGolden(t *testing.T) {
	checkGolden(t, "words.golden", []goldenCase{
		{name: "word-full", full: true, value: &negativecache.KeyReport{
			Sequence: 70000, Hashes: []uint64{0xf1f2f3f4f5f6f7f8, 1, 0x0102030405060708},
		}},
		{name: "word-without-sequence", value: &negativecache.KeyReport{Hashes: []uint64{9}}},
		{name: "word-without-hashes", value: &negativecache.KeyReport{Sequence: 3, Hashes: []uint64{}}},
		{name: "word-empty", value: &negativecache.KeyReport{}},
	})
}

// The action selects the kind of the gossip row, and the age of a report is sent in units of time.
func TestWireNumbers(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want int64
	}{
		{"action to report written keys", int64(negativecache.ActionReportWritten), 0},
		{"action to report absent keys", int64(negativecache.ActionReportAbsent), 1},
		{"units of time in a second", int64(negativecache.Second), 10000},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.got != c.want {
				t.Errorf("got %d, want %d", c.got, c.want)
			}
		})
	}
}
