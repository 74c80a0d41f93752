package negativecache

// maxReportKeys is the maximum number of keys in one report.
const maxReportKeys = 100

// reportSlots is the number of reports of each kind that the peers of a proxy store. A report replaces the report in the
// same slot, which was sent reportSlots reports earlier.
const reportSlots = 64

// KeyReport is the body of a report of written keys, or of keys that are absent at the origin.
type KeyReport struct {
	Sequence int64    `msgpack:"q,omitempty"` // sequence number of a write report, from 1; 0 in a report of absent keys
	Hashes   []uint64 `msgpack:"h"`           // hashes of the keys, at most 100
}
