package replica

import (
	"cmp"
	"slices"
	"strings"
)

// maxRows bounds the rows that are stored; new rows beyond it are rejected and counted.
const maxRows = 16384

// BucketCount is the number of parts of a digest. A row belongs to the bucket of its ID modulo BucketCount.
const BucketCount = 64

// Digest is the digest of the stored rows: for each bucket, the exclusive or of its rows' hashes.
type Digest [BucketCount]uint64

// KindStats are the figures on the stored rows of one kind.
type KindStats struct {
	Rows   int
	Digest uint64 // exclusive or of the rows' hashes
}

// storedRow is the current version of a row.
type storedRow struct {
	Row
	id         uint64
	version    uint64 // hash
	writtenAt  Time   // on this proxy's clock, by the row's age
	receivedAt Time   // when this version was stored
}

// hash is what the row contributes to its bucket's digest.
func (r *storedRow) hash() uint64 { return r.id*0x9e3779b97f4a7c15 ^ r.version }

// expired reports whether the row has reached its time to live.
func (r *storedRow) expired(now Time) bool { return r.TTL > 0 && now-r.writtenAt >= r.TTL }

// aged returns the row as it is sent, with the age that it has now.
func (r *storedRow) aged(now Time) Row {
	row := r.Row
	row.Age = now - r.writtenAt
	return row
}

// rowTable stores the current version of each row, with a digest by bucket.
type rowTable struct {
	byID    map[uint64]*storedRow
	buckets [BucketCount]bucket
}

type bucket struct {
	digest uint64
	rows   []*storedRow // by ID, so that walks of the table have the same order every time
}

func newRowTable() *rowTable { return &rowTable{byID: map[uint64]*storedRow{}} }

func (t *rowTable) size() int { return len(t.byID) }

func (t *rowTable) full() bool { return len(t.byID) >= maxRows }

// departure returns the departure record of a proxy, nil if none is stored.
func (t *rowTable) departure(proxy string) *storedRow {
	return t.byID[rowID(&Row{Kind: KindDeparture, Key: proxy})]
}

// put stores a version in place of the one that is stored for the same ID, if any.
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

// expire removes the rows that have reached their time to live, and calls removed with each of them.
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

// expireKind lets all rows of a kind expire at the next call of expire.
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

// differingVersions compares the table with a peer's digest. It returns the bit mask of the buckets that differ, as
// many as fit into a reply, and the versions of the rows that are stored in them.
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

// missingFrom returns the rows in the buckets of a bit mask that a peer with these versions by ID lacks, with their
// age.
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

// forEach calls f with each row of a kind, in the same order every time.
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
