package negativecache

import (
	"sync"
	"sync/atomic"
)

// stripeCount is the number of lock stripes of a table. A hash selects its stripe by its highest 8 bits.
const stripeCount = 256

// stripe is a part of a table with its own lock.
type stripe struct {
	mutex   sync.Mutex
	buckets []bucket
	_       [64]byte // padding, so that no two stripes share a cache line
}

// Table holds the keys that are absent at the origin, and those that were written recently. Its memory is allocated
// at the start and does not grow. Its methods may be called from any goroutine.
type Table struct {
	stripes      [stripeCount]stripe
	bucketMask   uint64        // number of buckets per stripe, a power of two, minus 1
	ttl          Time          // TTL of absent keys, and upper bound of the time until the origin applies a write
	servingUntil atomic.Int64  // Time from which lookups find nothing
	flushes      atomic.Uint64 // number of flushes
	hits         atomic.Int64  // number of lookups that found an absent key
	stored       atomic.Int64  // number of absent keys that were stored
	rejectedFull atomic.Int64  // number of absent keys that were not stored because their bucket was full
}

// newTable returns a table with a capacity of at least the given number of entries, and of at least 2,048. It serves
// nothing before the first call of serveUntil.
func newTable(entries int, ttl Time) *Table {
	bucketsPerStripe := 1
	for bucketsPerStripe*stripeCount*bucketSlots < entries {
		bucketsPerStripe *= 2
	}
	t := &Table{ttl: ttl, bucketMask: uint64(bucketsPerStripe - 1)}
	for i := range t.stripes {
		t.stripes[i].buckets = make([]bucket, bucketsPerStripe)
	}
	return t
}

// capacity returns the number of entries that the table can hold.
func (t *Table) capacity() int { return int(t.bucketMask+1) * stripeCount * bucketSlots }

// locate returns the stripe and the bucket of a hash.
func (t *Table) locate(hash uint64) (*stripe, *bucket) {
	s := &t.stripes[hash>>56]
	return s, &s.buckets[hash>>24&t.bucketMask]
}

// nonZero returns the hash, or 1 if it is 0, which marks a free slot.
func nonZero(hash uint64) uint64 { return max(hash, 1) }

// Contains reports whether a key is known to be absent at the origin.
func (t *Table) Contains(hash uint64, now Time) bool {
	if int64(now) >= t.servingUntil.Load() {
		return false
	}
	hash = nonZero(hash)
	s, b := t.locate(hash)
	s.mutex.Lock()
	found := false
	for i := range b.entries {
		if e := &b.entries[i]; e.hash == hash {
			if found = !e.written && now-e.at < t.ttl && now >= e.at; found {
				e.unread = false
			}
			break
		}
	}
	s.mutex.Unlock()
	if found {
		t.hits.Add(1)
	}
	return found
}

// FetchToken identifies the state of the table when a fetch from the origin began. The zero value belongs to no fetch.
type FetchToken struct {
	flushes uint64
	writes  uint32
}

// BeginFetch must be called before a fetch of a key from the origin. The caller passes the returned token to
// [Cache.KeyFetchedAbsent] if the origin reports the key absent.
func (t *Table) BeginFetch(hash uint64) FetchToken {
	s, b := t.locate(nonZero(hash))
	s.mutex.Lock()
	token := FetchToken{t.flushes.Load(), b.writes}
	s.mutex.Unlock()
	return token
}

// recordAbsent stores a key that a fetch found absent at the origin, and reports whether the key was stored and should be
// reported to other proxies. The key is not stored if, since the fetch began, the table was flushed or any key of the
// bucket was written. Nor is it stored if it was written within the TTL, because the origin may apply that write only
// after it has replied to the fetch.
func (t *Table) recordAbsent(hash uint64, token FetchToken, now Time) bool {
	hash = nonZero(hash)
	s, b := t.locate(hash)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if token.flushes != t.flushes.Load() || token.writes != b.writes || b.maybeWritten(hash, now-t.ttl) {
		return false
	}
	return t.store(b, entry{hash: hash, at: now, unread: true}, now)
}

// recordPeerAbsent stores a key that another proxy found absent at the given time, and reports whether it was stored. The
// key is not stored if the table was flushed at or after that time, or if the key was written within the TTL.
func (t *Table) recordPeerAbsent(hash uint64, at, now Time) bool {
	hash = nonZero(hash)
	s, b := t.locate(hash)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if at <= b.flushedAt || b.maybeWritten(hash, now-t.ttl) {
		return false
	}
	return t.store(b, entry{hash: hash, at: at, unread: true}, now)
}

// RecordWrite records that a key is being written. From then on the key is not served as absent. It is not stored as
// absent by a fetch that has already begun, nor by a fetch or report within the TTL.
func (t *Table) RecordWrite(hash uint64, now Time) {
	hash = nonZero(hash)
	s, b := t.locate(hash)
	s.mutex.Lock()
	b.writes++
	t.store(b, entry{hash: hash, at: now, written: true}, now)
	s.mutex.Unlock()
}

// store puts an entry into a slot of a bucket, and reports whether it did. It uses the slot of the same key, otherwise a
// free or expired slot, otherwise the slot of the oldest unread entry. If there is no such slot, a write evicts the
// oldest entry and an absent key is rejected. The caller must hold the lock of the bucket's stripe.
func (t *Table) store(b *bucket, e entry, now Time) bool {
	slot, oldest, oldestUnread := noSlot, noSlot, noSlot
	for i := range b.entries {
		current := &b.entries[i]
		switch {
		case current.hash == e.hash:
			if !e.written && !current.written && current.at >= e.at {
				return false // the stored entry is at least as recent
			}
			e.unread = e.unread && (current.unread || current.written)
			slot = i
		case slot != noSlot && b.entries[slot].hash == e.hash: // the slot of the same key takes precedence over a free one
		case current.hash == 0 || now-current.at >= t.ttl:
			slot = i
		}
		if oldest == noSlot || current.at < b.entries[oldest].at {
			oldest = i
		}
		if current.unread && (oldestUnread == noSlot || current.at < b.entries[oldestUnread].at) {
			oldestUnread = i
		}
	}
	switch {
	case slot != noSlot:
		b.entries[slot] = e
	case oldestUnread != noSlot:
		b.replace(oldestUnread, e)
	case e.written:
		b.replace(oldest, e)
	default:
		t.rejectedFull.Add(1)
		return false
	}
	if !e.written {
		t.stored.Add(1)
	}
	return true
}

// serveUntil sets the time until which absent keys are served. A time in the past stops the serving at once.
func (t *Table) serveUntil(until Time) { t.servingUntil.Store(int64(until)) }

// flush removes all absent keys. Fetches that have already begun store no keys afterwards.
func (t *Table) flush(now Time) {
	t.flushes.Add(1)
	for i := range t.stripes {
		s := &t.stripes[i]
		s.mutex.Lock()
		for k := range s.buckets {
			s.buckets[k].flush(now)
		}
		s.mutex.Unlock()
	}
}
