package negativecache

// bucketSlots is the number of entries of a bucket.
const bucketSlots = 8

// noSlot is the index of no entry of a bucket.
const noSlot = -1

// entry is a key that is absent at the origin, or that was written recently, by a 64-bit hash. A key collides with a
// given entry at a probability of 2^-64: with a million entries, one lookup in 1.8e13 gets a wrong answer.
type entry struct {
	hash    uint64 // 0: the slot is free
	at      Time   // when the origin reported the key absent, or when it was written
	written bool
	unread  bool // not looked up since it was stored: it may be part of a scan, and evicts no entry that was
}

// bucket holds the entries whose hashes select it, in no particular order.
type bucket struct {
	entries        [bucketSlots]entry
	flushedAt      Time   // other proxies' observations up to this instant are not stored
	evictedWriteAt Time   // the latest write whose entry was evicted; 0: none was
	writes         uint32 // number of writes recorded, modulo 2^32
}

// maybeWritten reports whether a key was written after an instant, or may have been, as a later write was evicted.
func (b *bucket) maybeWritten(hash uint64, since Time) bool {
	if b.evictedWriteAt != 0 && b.evictedWriteAt > since {
		return true
	}
	for i := range b.entries {
		if e := &b.entries[i]; e.hash == hash && e.written && e.at > since {
			return true
		}
	}
	return false
}

// replace stores an entry in a slot whose entry is evicted. The instant of an evicted write is retained.
func (b *bucket) replace(slot int, e entry) {
	if evicted := &b.entries[slot]; evicted.written {
		b.evictedWriteAt = max(b.evictedWriteAt, evicted.at)
	}
	b.entries[slot] = e
}

// flush removes the absent keys, but not the written ones.
func (b *bucket) flush(now Time) {
	for i := range b.entries {
		if !b.entries[i].written {
			b.entries[i] = entry{}
		}
	}
	b.flushedAt = now
}
