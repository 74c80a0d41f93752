package negativecache_test

import (
	"testing"

	"woodproxy/internal/goldentest"

	"woodproxy/negativecache"
)

// The encoding of reports, which are the bodies of the gossip rows of written and absent keys, must not change.
func TestReportEncodingGolden(t *testing.T) {
	goldentest.Msgpack(t, "words.golden", []goldentest.Value{
		{Name: "word-full", Full: true, Value: &negativecache.KeyReport{
			Sequence: 70000, Hashes: []uint64{0xf1f2f3f4f5f6f7f8, 1, 0x0102030405060708},
		}},
		{Name: "word-without-sequence", Value: &negativecache.KeyReport{Hashes: []uint64{9}}},
		{Name: "word-without-hashes", Value: &negativecache.KeyReport{Sequence: 3, Hashes: []uint64{}}},
		{Name: "word-empty", Value: &negativecache.KeyReport{}},
	})
}

// The values of the actions, which select the kind of the gossip row, and the unit in which ages are sent must not change.
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
