package replica

// Buckets is the number of parts of a digest. A row belongs to the bucket of its ID modulo Buckets.
const Buckets = 64

// Sums is the digest of the stored rows: for each bucket, the exclusive or of its rows' hashes.
type Sums [Buckets]uint64

// Held are the figures on the stored rows of one kind.
type Held struct {
	Rows int
	Sum  uint64 // exclusive or of the rows' hashes
}
