package negativecache

import "testing"

// The cases are one after the other on the same cache.
func TestAbsentKeysAreServedOnlyWhileTheFleetIsComplete(t *testing.T) {
	cache := New(0, Terms{
		Me: "n1", Entries: 2048, Believe: 100 * Second, Grace: Second, Grow: 50,
	})
	self, peer := Proxy{Name: "n1", Here: true}, Proxy{Name: "n2", Here: true, Epoch: 1}
	now := Time(0)
	for _, c := range []struct {
		name       string
		proxies    []Proxy
		catchingUp bool
		serving    bool
	}{
		{"a configured proxy was never discovered", []Proxy{self}, false, false},
		{"all proxies are reachable", []Proxy{self, peer}, false, true},
		{"a proxy is unreachable", []Proxy{self, {Name: "n2", Epoch: 1}}, false, false},
		{"this proxy is catching up", []Proxy{self, peer}, true, false},
		{"a proxy departed", []Proxy{self, {Name: "n2", Gone: true, Epoch: 1}}, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			now += 3 * Second
			cache.Fleet(now, c.proxies, 2, c.catchingUp)
			now += cache.applyTime() + Second // now the origin has applied the last writes of a departed proxy
			cache.Fleet(now, c.proxies, 2, c.catchingUp)
			if got := cache.Shown().Believes; got != c.serving {
				t.Errorf("serving: %v, want %v", got, c.serving)
			}
		})
	}
}

// The first report of a restarted proxy may arrive before its first heartbeat. Reports of its earlier process must not
// count as reports of the new one, and reports of the new one that are lost must be noticed.
func TestRestartedProxyIsCountedAnew(t *testing.T) {
	cache := New(0, Terms{
		Me: "n1", Entries: 2048, Believe: 10 * Second, Grace: Second, Grow: 50,
	})
	updateFleet := func(now Time, writeReports, incarnation int64) {
		cache.Fleet(now, []Proxy{
			{Name: "n1", Here: true},
			{Name: "n2", Here: true, Wrote: writeReports, Epoch: incarnation},
		}, 2, false)
	}
	updateFleet(Second, 500, 1)
	cache.HeardWrote(2*Second, "n2", 2, Word{Sequence: 1, Hashes: []uint64{7}})
	updateFleet(2*Second, 500, 1)
	if cache.Shown().Believes {
		t.Error("absent keys are served by the heartbeat of an earlier process")
	}
	flushes := cache.Shown().Cleared
	updateFleet(3*Second, 3, 2)
	if stats := cache.Shown(); stats.Cleared == flushes || stats.Believes {
		t.Errorf("two reports are outstanding, and the table is not flushed: %+v", stats)
	}
	updateFleet(9*Second, 3, 2)
	if !cache.Shown().Believes {
		t.Error("absent keys are not served after the flush")
	}
	updateFleet(10*Second, 4, 2)
	if stats := cache.Shown(); stats.AwaitedProxies != 1 {
		t.Errorf("one more report is outstanding: %+v", stats)
	}
}
