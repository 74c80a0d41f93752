// Package negativecache decides for which keys a proxy may say by itself that the origin has none, by what it and its peers heard from the
// origin. A Table answers look-ups and takes writes on whatever goroutine they come; an Instance (one goroutine's) decides what of
// what peers say is believed, and what is told to them. An entry is believed for a stated time after the origin's word, only while
// all proxies that may write are heard, and never past a write that this proxy knows of. Same inputs, same output. No I/O in here.
//
// Locks: each bucket group of a Table has one, under which nothing is called and no other is taken; the counters are atomic. An
// Instance has none.
package negativecache

import (
	"sync"
	"sync/atomic"
)

// Time counts tenths of a millisecond on the caller's own clock; spans use it too.
type Time int64

// Second is one in the module's time.
const Second = Time(10000)

const (
	ways   = 8   // entries of a bucket
	groups = 256 // locks
)

// entry is a key that is missing, or that was written lately, by a 64-bit hash. Two keys share one by a chance of 2^-64 for each
// entry that is held: a million entries answer wrongly for one look-up in 1.8e13.
type entry struct {
	hash    uint64 // 0: free
	at      Time   // of the origin's word, or of the write
	written bool
	once    bool // nobody has asked for it here since that word: it may be one of a scan, and pushes out none that was
}

type bucket struct {
	entries [ways]entry
	floor   Time   // what others found out by then is not held: all was forgotten,
	lost    Time   // or a write of then is no longer known
	writes  uint32 // counted
}

type group struct {
	sync.Mutex
	buckets []bucket
	_       [64]byte // groups share no line of the processor's cache
}

// Table holds what is missing. It takes a fixed room from the start on.
type Table struct {
	groups  [groups]group
	mask    uint64
	believe Time
	until   atomic.Int64 // entries may be believed until then
	epoch   atomic.Uint64
	Hits    atomic.Int64 // look-ups that were answered
	Put     atomic.Int64 // entries taken
	Full    atomic.Int64 // entries that found no place
}

// NewTable returns one with room for so many entries, 2,048 at least; an entry is believed for so long.
func NewTable(entries int, believe Time) *Table {
	t := &Table{believe: believe}
	per := 1
	for per*groups*ways < entries {
		per *= 2
	}
	t.mask = uint64(per - 1)
	for i := range t.groups {
		t.groups[i].buckets = make([]bucket, per)
	}
	return t
}

// Room is how many entries there may be.
func (t *Table) Room() int { return int(t.mask+1) * groups * ways }

// of is where a hash lies. Its group is by the highest bits, its bucket by the next.
func (t *Table) of(hash uint64) (*group, *bucket) {
	g := &t.groups[hash>>56]
	return g, &g.buckets[hash>>24&t.mask]
}

// keep makes a hash of which 0 is none.
func keep(hash uint64) uint64 { return max(hash, 1) }

// Has tells whether a key is known to be missing by now.
func (t *Table) Has(hash uint64, now Time) bool {
	if int64(now) >= t.until.Load() {
		return false
	}
	hash = keep(hash)
	g, b := t.of(hash)
	g.Lock()
	found := false
	for i := range b.entries {
		if e := &b.entries[i]; e.hash == hash {
			if found = !e.written && now-e.at < t.believe && now >= e.at; found {
				e.once = false
			}
			break
		}
	}
	g.Unlock()
	if found {
		t.Hits.Add(1)
	}
	return found
}

// Ticket is what a look-up at the origin begins with.
type Ticket struct {
	epoch  uint64
	writes uint32
}

// Begin notes that the origin is about to be asked for a key.
func (t *Table) Begin(hash uint64) Ticket {
	g, b := t.of(keep(hash))
	g.Lock()
	k := Ticket{t.epoch.Load(), b.writes}
	g.Unlock()
	return k
}

// Absent takes the origin's word that it has no such key. It is not held if a write of this or, rarely, another key passed since
// the ticket, or one of this key is known that is no older than an entry lives: the origin may carry it out after it looked. It tells whether the word is worth telling others.
func (t *Table) Absent(hash uint64, k Ticket, now Time) bool {
	hash = keep(hash)
	g, b := t.of(hash)
	g.Lock()
	defer g.Unlock()
	if k.epoch != t.epoch.Load() || k.writes != b.writes || b.written(hash, now-t.believe) {
		return false
	}
	return t.put(b, entry{hash: hash, at: now, once: true}, now)
}

// Told takes a peer's word that the origin had no such key at a time, with the same exceptions.
func (t *Table) Told(hash uint64, at, now Time) bool {
	hash = keep(hash)
	g, b := t.of(hash)
	g.Lock()
	defer g.Unlock()
	if at <= b.floor || b.written(hash, now-t.believe) {
		return false
	}
	return t.put(b, entry{hash: hash, at: at, once: true}, now)
}

// Wrote takes a write of a key: by now nobody may call it missing, and no look-up that is out may.
func (t *Table) Wrote(hash uint64, now Time) {
	hash = keep(hash)
	g, b := t.of(hash)
	g.Lock()
	b.writes++
	t.put(b, entry{hash: hash, at: now, written: true}, now)
	g.Unlock()
}

// written tells whether a key was written since a time, or may have been: a write may be carried out for as long as an entry lives,
// whatever came of it, and until then nothing that the origin says of that key is held.
func (b *bucket) written(hash uint64, since Time) bool {
	if b.lost != 0 && b.lost > since {
		return true
	}
	for i := range b.entries {
		if e := &b.entries[i]; e.hash == hash && e.written && e.at > since {
			return true
		}
	}
	return false
}

// put holds an entry in the place of the same key's, of a free or a lapsed one, or of the oldest that nobody has asked for; a write
// finds one in any case.
func (t *Table) put(b *bucket, e entry, now Time) bool {
	at, oldest, idle := -1, -1, -1
	for i := range b.entries {
		o := &b.entries[i]
		switch {
		case o.hash == e.hash:
			if !e.written && !o.written && o.at >= e.at {
				return false // what is held is as new
			}
			e.once = e.once && (o.once || o.written)
			at = i
		case at >= 0 && b.entries[at].hash == e.hash:
		case o.hash == 0 || now-o.at >= t.believe:
			at = i
		}
		if oldest < 0 || o.at < b.entries[oldest].at {
			oldest = i
		}
		if o.once && (idle < 0 || o.at < b.entries[idle].at) {
			idle = i
		}
	}
	if at < 0 {
		if at = idle; at < 0 && !e.written {
			t.Full.Add(1)
			return false
		} else if at < 0 {
			at = oldest
		}
		if b.entries[at].written {
			b.lost = max(b.lost, b.entries[at].at)
		}
	}
	b.entries[at] = e
	if !e.written {
		t.Put.Add(1)
	}
	return true
}

// Believe says until when entries may be believed, a time that has passed: not now.
func (t *Table) Believe(until Time) { t.until.Store(int64(until)) }

// Clear forgets all that is missing; look-ups that are out put nothing back.
func (t *Table) Clear(now Time) {
	t.epoch.Add(1)
	for i := range t.groups {
		g := &t.groups[i]
		g.Lock()
		for k := range g.buckets {
			b := &g.buckets[k]
			for n := range b.entries {
				if !b.entries[n].written {
					b.entries[n] = entry{}
				}
			}
			b.floor = now
		}
		g.Unlock()
	}
}
