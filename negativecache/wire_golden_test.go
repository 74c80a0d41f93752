package negativecache_test

import (
	"testing"

	"woodproxy/negativecache"
)

// TestGoldenWords pins the encoding of what a proxy says of keys, the body of rows of kinds Wrote and Absent.
func TestGoldenWords(t *testing.T) {
	checkGolden(t, "words.golden", []goldenCase{
		{name: "word-full", full: true, value: &negativecache.Word{Seq: 70000, Hashes: []uint64{0xf1f2f3f4f5f6f7f8, 1, 0x0102030405060708}}},
		{name: "word-without-sequence", value: &negativecache.Word{Hashes: []uint64{9}}},
		{name: "word-without-hashes", value: &negativecache.Word{Seq: 3, Hashes: []uint64{}}},
		{name: "word-empty", value: &negativecache.Word{}},
	})
}

// TestWireNumbers pins the acts by which the caller picks the kind of a row, and the unit of ages.
func TestWireNumbers(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want int64
	}{
		{"act wrote", int64(negativecache.SayWrote), 0},
		{"act absent", int64(negativecache.SayAbsent), 1},
		{"units of time in a second", int64(negativecache.Second), 10000},
	} {
		if c.got != c.want {
			t.Errorf("%s: %d, want %d", c.name, c.got, c.want)
		}
	}
}
