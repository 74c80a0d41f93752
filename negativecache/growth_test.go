package negativecache

import "testing"

// When the origin reports every key absent for a moment, the table grows no faster than configured, and one flush
// removes all absent keys.
func TestGrowthIsLimitedAndUndoneByFlush(t *testing.T) {
	const keys, keysPerSecond = 4000, 50
	cache := New(0, Settings{
		ProxyName: "n1", Entries: 1 << 16, TTL: 100 * Second, ReportGrace: Second, MaxNewKeysPerSecond: keysPerSecond,
	})
	fleet := []Proxy{{Name: "n1", Reachable: true}}
	cache.UpdateFleet(0, fleet, 1, false)
	for i := range keys { // within two seconds
		cache.KeyFetchedAbsent(Time(i)*5, hashOf(i), cache.Table.BeginFetch(hashOf(i)), -1)
	}
	stats := cache.Stats()
	if stats.Stored > keysPerSecond+2*keysPerSecond+1 || stats.Stored < 2*keysPerSecond || stats.GrowthLimited == 0 {
		t.Errorf("got %+v, want growth limited as configured", stats)
	}
	cache.UpdateFleet(2*Second, fleet, 1, false)
	served := func() (count int) {
		for i := range keys {
			if cache.Table.Contains(hashOf(i), 2*Second) {
				count++
			}
		}
		return count
	}
	if got := served(); got < 2*keysPerSecond {
		t.Errorf("got %d keys served, want at least %d", got, 2*keysPerSecond)
	}
	cache.Flush(2 * Second)
	if got := served(); got != 0 {
		t.Errorf("got %d keys served after a flush, want 0", got)
	}
}

func TestTenantUsesOnlyItsOwnPartOfGrowth(t *testing.T) {
	cache := New(0, Settings{
		ProxyName: "n1", Entries: 1 << 16, TTL: 100 * Second, ReportGrace: Second, MaxNewKeysPerSecond: 100, TenantCount: 4,
	})
	for _, c := range []struct {
		name           string
		firstKey, keys int
		tenant         int
		stored         int64
	}{
		{"a tenant that scans", 0, 5000, 2, 25},
		{"another tenant", 10000, 20, 0, 20},
		{"no tenant", 20000, 20, -1, 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := cache.Stats().Stored
			for key := c.firstKey; key < c.firstKey+c.keys; key++ {
				cache.KeyFetchedAbsent(Second, hashOf(key), cache.Table.BeginFetch(hashOf(key)), c.tenant)
			}
			if got := cache.Stats().Stored - before; got != c.stored {
				t.Errorf("got %d keys stored, want %d", got, c.stored)
			}
		})
	}
}
