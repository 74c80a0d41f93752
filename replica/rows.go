package replica

import (
	"cmp"
	"slices"
	"strings"
)

// maxRows is the maximum number of stored rows. Further new rows are rejected and counted.
const maxRows = 16384

// BucketCount is the number of buckets of a digest. The bucket of a row is its ID modulo BucketCount.
const BucketCount = 64

// Digest is the digest of the stored rows: the exclusive or of the hashes of the rows in each bucket.
type Digest [BucketCount]uint64

// KindStats holds statistics of the stored rows of one kind.
type KindStats struct {
	Rows   int    // number of rows
	Digest uint64 // exclusive or of the hashes of the rows
}

// storedRow is the stored version of a row.
type storedRow struct {
	Row
	id         uint64
	version    uint64 // hash of the version
	writtenAt  Time   // time on this proxy's clock, derived from the age of the row
	receivedAt Time   // time at which this version was stored
}

// hash returns the value that the row contributes to the digest of its bucket.
func (r *storedRow) hash() uint64 { return r.id*0x9e3779b97f4a7c15 ^ r.version }

// expired reports whether the row has reached its time to live.
func (r *storedRow) expired(now Time) bool { return r.TTL > 0 && now-r.writtenAt >= r.TTL }

// aged returns the row with its age at time now, as it is sent to peers.
func (r *storedRow) aged(now Time) Row {
	row := r.Row
	row.Age = now - r.writtenAt
	return row
}

// rowTable stores the newest version of each row, with a digest for each bucket.
type rowTable struct {
	byID    map[uint64]*storedRow
	buckets [BucketCount]bucket
}

// bucket holds the rows of one bucket of the digest.
type bucket struct {
	digest uint64
	rows   []*storedRow // sorted by ID, so that iteration order is deterministic
}

func newRowTable() *rowTable { return &rowTable{byID: map[uint64]*storedRow{}} }

func (t *rowTable) size() int { return len(t.byID) }

func (t *rowTable) full() bool { return len(t.byID) >= maxRows }

// departure returns the departure record of a proxy, or nil if none is stored.
func (t *rowTable) departure(proxy string) *storedRow {
	return t.byID[rowID(&Row{Kind: KindDeparture, Key: proxy})]
}

// put stores a version of a row, replacing the stored version with the same ID if there is one.
func (t *rowTable) put(id uint64, row *Row, now Time) *storedRow {
	bucket := &t.buckets[id%BucketCount]
	stored := t.byID[id]
	if stored == nil {
		stored = &storedRow{id: id}
		t.byID[id] = stored
		i, _ := slices.BinarySearchFunc(bucket.rows, id, func(r *storedRow, id uint64) int { return cmp.Compare(r.id, id) })
		bucket.rows = slices.Insert(bucket.rows, i, stored)
	} else {
		bucket.digest ^= stored.hash()
	}
	stored.Row = *row
	stored.Key, stored.Writer = strings.Clone(row.Key), strings.Clone(row.Writer) // the caller reuses its buffer
	stored.Body = slices.Clone(row.Body)
	stored.version = versionHash(row)
	stored.writtenAt, stored.receivedAt = now-row.Age, now
	bucket.digest ^= stored.hash()
	return stored
}

// expire removes the rows that have reached their time to live, and calls removed for each of them.
func (t *rowTable) expire(now Time, removed func(*storedRow)) {
	for i := range t.buckets {
		bucket := &t.buckets[i]
		bucket.rows = slices.DeleteFunc(bucket.rows, func(row *storedRow) bool {
			if !row.expired(now) {
				return false
			}
			bucket.digest ^= row.hash()
			delete(t.byID, row.id)
			removed(row)
			return true
		})
	}
}

// expireKind makes all rows of a kind expire at the next call of expire.
func (t *rowTable) expireKind(kind Kind) {
	for _, row := range t.byID {
		if row.Kind == kind {
			row.TTL = 1
		}
	}
}

// digest returns the digest of all stored rows.
func (t *rowTable) digest() (sums Digest) {
	for i := range t.buckets {
		sums[i] = t.buckets[i].digest
	}
	return sums
}

// differingVersions compares the table with the digest of a peer. It returns the bit mask of the buckets that differ, as
// many as fit into one reply, and the versions of the rows stored in them.
func (t *rowTable) differingVersions(peerDigest *Digest) (mask uint64, versions []RowVersion) {
	for i := range t.buckets {
		bucket := &t.buckets[i]
		tooMany := len(versions)+len(bucket.rows) > maxVersionsSent && mask != 0
		if bucket.digest == peerDigest[i] || tooMany {
			continue
		}
		mask |= 1 << i
		for _, row := range bucket.rows {
			versions = append(versions, RowVersion{RowID: row.id, VersionHash: row.version})
		}
	}
	return mask, versions
}

// missingFrom returns the rows in the buckets of a bit mask that a peer lacks or has in another version, with their
// current age. The peer's versions are given by row ID.
func (t *rowTable) missingFrom(mask uint64, versions map[uint64]uint64, now Time) (rows []Row) {
	for i := range t.buckets {
		if mask&(1<<i) == 0 {
			continue
		}
		for _, row := range t.buckets[i].rows {
			if version, known := versions[row.id]; !known || version != row.version {
				rows = append(rows, row.aged(now))
			}
		}
	}
	return rows
}

// forEach calls f for each row of a kind, in a deterministic order.
func (t *rowTable) forEach(kind Kind, f func(*storedRow)) {
	for i := range t.buckets {
		for _, row := range t.buckets[i].rows {
			if row.Kind == kind {
				f(row)
			}
		}
	}
}

// kindStats returns statistics of the stored rows by kind.
func (t *rowTable) kindStats() map[Kind]KindStats {
	all := map[Kind]KindStats{}
	for _, row := range t.byID {
		stats := all[row.Kind]
		stats.Rows++
		stats.Digest ^= row.hash()
		all[row.Kind] = stats
	}
	return all
}
