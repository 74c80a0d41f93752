package negativecache

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// FuzzReceivedReport checks that a cache handles every report that can be decoded without a panic.
func FuzzReceivedReport(f *testing.F) {
	valid, err := msgpack.Marshal(&KeyReport{Sequence: 3, Hashes: []uint64{1, 2}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte("\xdc\xff\xff"))
	f.Fuzz(func(_ *testing.T, encoded []byte) {
		var report KeyReport
		if msgpack.Unmarshal(encoded, &report) != nil {
			return
		}
		cache := New(0, Settings{
			ProxyName: "n1", Entries: 2048, TTL: Second, ReportGrace: Second, MaxNewKeysPerSecond: 1,
		})
		cache.ReceiveWriteReport(Second, "n2", 1, report)
		cache.ReceiveAbsentReport(Second, "n2", report, 0)
		cache.UpdateFleet(Second, []Proxy{{Name: "n2", Reachable: true, WriteReports: report.Sequence, Incarnation: 1}}, 1, false)
	})
}
