package negativecache

// bucketSlots is the number of slots of a bucket.
const bucketSlots = 8

// noSlot is used in place of a slot's index if no slot was found.
const noSlot = -1

// entry records that a key is absent at the origin, or that it was written recently. The key is represented by its 64-bit
// hash. The probability that another key collides with a given entry is 2^-64: with a million entries, one lookup in
// 1.8e13 returns a wrong result.
type entry struct {
	hash    uint64 // hash of the key, 0 if the slot is free
	at      Time   // when the origin reported the key absent, or when the key was written
	written bool   // whether the key was written; otherwise it is absent
	unread  bool   // whether the key was never looked up, as in a scan; an absent key evicts only unread entries
}

// bucket holds the entries whose hashes select it, in no particular order.
type bucket struct {
	entries        [bucketSlots]entry
	flushedAt      Time   // time of the last flush; other proxies' observations up to then are not stored
	evictedWriteAt Time   // time of the latest write whose entry was evicted, 0 if none was
	writes         uint32 // number of recorded writes, modulo 2^32
}

// maybeWritten reports whether a key was written after the given time. It also returns true if the entry of a later
// write was evicted, since that may have been a write of this key.
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

// replace evicts the entry of a slot and stores another one there. The time of an evicted write is retained.
func (b *bucket) replace(slot int, e entry) {
	if evicted := &b.entries[slot]; evicted.written {
		b.evictedWriteAt = max(b.evictedWriteAt, evicted.at)
	}
	b.entries[slot] = e
}

// flush removes the entries of absent keys and keeps those of written keys.
func (b *bucket) flush(now Time) {
	for i := range b.entries {
		if !b.entries[i].written {
			b.entries[i] = entry{}
		}
	}
	b.flushedAt = now
}
