package negativecache

// maxReportKeys is the highest number of keys in one report.
const maxReportKeys = 100

// reportSlots is how many of a proxy's reports of each kind its peers store. A report replaces the one with the same
// slot, which is that many reports older.
const reportSlots = 64

// KeyReport is a report that proxies exchange: of keys that were written, or of keys that are absent at the origin.
type KeyReport struct {
	Sequence int64    `msgpack:"q,omitempty"` // number among the sender's write reports, from 1 on; 0 with absent keys
	Hashes   []uint64 `msgpack:"h"`           // hashes of the keys, at most 100
}
