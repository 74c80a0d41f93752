package negativecache

import (
	"math/rand/v2"
	"sync"
	"testing"
)

// hashOf returns the hash of the key with the given number.
func hashOf(key int) uint64 { return uint64(key)*0x9e3779b97f4a7c15 ^ 0xabcdef }

// fetchAbsent records a key as absent by a fetch that takes no time, and reports whether the key was stored.
func fetchAbsent(table *Table, hash uint64, now Time) bool {
	return table.recordAbsent(hash, table.BeginFetch(hash), now)
}

// newServingTable returns a table that serves absent keys for longer than any test runs.
func newServingTable(entries int, ttl Time) *Table {
	table := newTable(entries, ttl)
	table.serveUntil(10000 * Second)
	return table
}

func TestAbsentKeyIsServedForItsTTL(t *testing.T) {
	table := newServingTable(4096, 10*Second)
	hash := hashOf(1)
	if !fetchAbsent(table, hash, Second) || !table.Contains(hash, Second) {
		t.Error("an absent key is not served")
	}
	if table.Contains(hashOf(2), Second) {
		t.Error("an unknown key is served as absent")
	}
	if !table.Contains(hash, 11*Second-1) {
		t.Error("an absent key is not served until the end of its TTL")
	}
	if table.Contains(hash, 11*Second) {
		t.Error("an absent key is served after its TTL")
	}
}

func TestWrittenKeyIsNotServedAsAbsent(t *testing.T) {
	table := newServingTable(4096, 10*Second)
	hash := hashOf(1)
	fetchAbsent(table, hash, Second)
	fetchAbsent(table, hash, 12*Second)
	fetch := table.BeginFetch(hash)
	table.RecordWrite(hash, 13*Second)
	if table.Contains(hash, 13*Second) {
		t.Error("a written key is served as absent")
	}
	if table.recordAbsent(hash, fetch, 14*Second) || table.Contains(hash, 14*Second) {
		t.Error("a fetch that began before a write stores the key as absent")
	}
	// a fetch that begins after the write may still reach the origin before the write is applied
	if fetchAbsent(table, hash, 15*Second) || table.Contains(hash, 15*Second) {
		t.Error("a fetch within the TTL of a write stores the key as absent")
	}
	if table.recordPeerAbsent(hash, 15*Second, 15*Second) || table.Contains(hash, 15*Second) {
		t.Error("another proxy's report within the TTL of a write is stored")
	}
	if !fetchAbsent(table, hash, 24*Second) || !table.Contains(hash, 24*Second) {
		t.Error("a fetch after the TTL of a write does not store the key as absent")
	}
}

func TestNothingIsServedAfterTheServingDeadline(t *testing.T) {
	table := newServingTable(4096, 10*Second)
	hash := hashOf(1)
	fetchAbsent(table, hash, 23*Second)
	table.serveUntil(24 * Second)
	if !table.Contains(hash, 24*Second-1) {
		t.Error("an absent key is not served before the serving deadline")
	}
	if table.Contains(hash, 24*Second) {
		t.Error("an absent key is served after the serving deadline")
	}
}

func TestFlushRemovesAbsentKeys(t *testing.T) {
	table := newServingTable(4096, 10*Second)
	hash := hashOf(1)
	fetchAbsent(table, hash, 24*Second)
	fetch := table.BeginFetch(hash)
	table.flush(25 * Second)
	if table.Contains(hash, 25*Second) {
		t.Error("an absent key is served after a flush")
	}
	if table.recordAbsent(hash, fetch, 25*Second) {
		t.Error("a fetch that began before a flush stores the key as absent")
	}
	if table.recordPeerAbsent(hash, 25*Second, 25*Second) {
		t.Error("another proxy's report of an observation before a flush is stored")
	}
}

// keysReadBeforeScan is the number of keys, starting with key 0, that were looked up in the table of newScannedTable.
const keysReadBeforeScan = 500

// newScannedTable returns a table with some absent keys that have been looked up, to which a scan has then added far more
// keys than the table can hold. None of the scanned keys has been looked up again.
func newScannedTable() *Table {
	table := newServingTable(4096, 100*Second)
	for i := range keysReadBeforeScan {
		fetchAbsent(table, hashOf(i), Second)
		table.Contains(hashOf(i), Second)
	}
	for i := range 1 << 18 {
		fetchAbsent(table, hashOf(1000+i), 2*Second)
	}
	return table
}

func TestScanDoesNotEvictKeysThatWereLookedUp(t *testing.T) {
	const minRetained = 450
	table := newScannedTable()
	retained := 0
	for i := range keysReadBeforeScan {
		if table.Contains(hashOf(i), 3*Second) {
			retained++
		}
	}
	if retained < minRetained {
		t.Errorf("got %d of %d keys retained after a scan, want at least %d", retained, keysReadBeforeScan, minRetained)
	}
}

func TestEvictedWritesLeaveNoStaleAbsence(t *testing.T) {
	const writes = 1 << 16 // far more than the table can hold
	table := newScannedTable()
	for i := range writes {
		table.RecordWrite(hashOf(1<<20+i), 3*Second)
	}
	for i := range writes {
		hash := hashOf(1<<20 + i)
		if table.recordPeerAbsent(hash, 4*Second, 5*Second) || fetchAbsent(table, hash, 5*Second) {
			t.Fatalf("key %d is stored as absent two seconds after it was written", i)
		}
	}
}

// TestTableIsSafeForConcurrentUse only fails under the race detector.
func TestTableIsSafeForConcurrentUse(_ *testing.T) {
	table := newServingTable(4096, 10*Second)
	var workers sync.WaitGroup
	for worker := range 8 {
		workers.Go(func() {
			for i := range 5000 {
				useTable(table, worker, i)
			}
		})
	}
	workers.Wait()
}

// useTable makes one of the calls that are safe on any goroutine: a write, a fetch, a report, a flush or a lookup.
func useTable(table *Table, worker, i int) {
	hash, now := hashOf(i%500), Time(i)
	switch (i + worker) % 10 {
	case 0:
		table.RecordWrite(hash, now)
	case 1:
		fetchAbsent(table, hash, now)
	case 2:
		table.recordPeerAbsent(hash, now, now)
	case 3:
		if i%1000 == 3 {
			table.flush(now)
		}
	default:
		table.Contains(hash, now)
	}
}

// benchmarkLookup measures lookups in a table that is half full. The keys are entries/2 consecutive ones from firstKey;
// the table holds those from 0.
func benchmarkLookup(b *testing.B, entries, firstKey int) {
	b.Helper()
	table := newServingTable(entries, 1000*Second)
	for i := range entries / 2 {
		fetchAbsent(table, hashOf(i), Second)
	}
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(p *testing.PB) {
		r := rand.New(rand.NewPCG(1, 2))
		for p.Next() {
			table.Contains(hashOf(firstKey+r.IntN(entries/2)), 2*Second)
		}
	})
}

func BenchmarkHit(b *testing.B)   { benchmarkLookup(b, 1<<17, 0) }
func BenchmarkMiss(b *testing.B)  { benchmarkLookup(b, 1<<17, 1<<17) }
func BenchmarkHit4M(b *testing.B) { benchmarkLookup(b, 1<<22, 0) }
