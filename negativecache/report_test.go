package negativecache

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// FuzzReceivedReport has a cache handle a report of any bytes that can be decoded.
func FuzzReceivedReport(f *testing.F) {
	valid, err := msgpack.Marshal(&Word{Sequence: 3, Hashes: []uint64{1, 2}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte("\xdc\xff\xff"))
	f.Fuzz(func(_ *testing.T, encoded []byte) {
		var report Word
		if msgpack.Unmarshal(encoded, &report) != nil {
			return
		}
		cache := New(0, Terms{
			Me: "n1", Entries: 2048, Believe: Second, Grace: Second, Grow: 1,
		})
		cache.HeardWrote(Second, "n2", 1, report)
		cache.HeardAbsent(Second, "n2", report, 0)
		cache.Fleet(Second, []Proxy{{Name: "n2", Here: true, Wrote: report.Sequence, Epoch: 1}}, 1, false)
	})
}
