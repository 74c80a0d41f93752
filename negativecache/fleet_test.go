package negativecache

import "testing"

// The cases are one after the other on the same cache.
func TestAbsentKeysAreServedOnlyWhileTheFleetIsComplete(t *testing.T) {
	cache := New(0, Settings{
		ProxyName: "n1", Entries: 2048, TTL: 100 * Second, ReportGrace: Second, MaxNewKeysPerSecond: 50,
	})
	self, peer := Proxy{Name: "n1", Reachable: true}, Proxy{Name: "n2", Reachable: true, Incarnation: 1}
	now := Time(0)
	for _, c := range []struct {
		name       string
		proxies    []Proxy
		catchingUp bool
		serving    bool
	}{
		{"a configured proxy was never discovered", []Proxy{self}, false, false},
		{"all proxies are reachable", []Proxy{self, peer}, false, true},
		{"a proxy is unreachable", []Proxy{self, {Name: "n2", Incarnation: 1}}, false, false},
		{"this proxy is catching up", []Proxy{self, peer}, true, false},
		{"a proxy departed", []Proxy{self, {Name: "n2", Departed: true, Incarnation: 1}}, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			now += 3 * Second
			cache.UpdateFleet(now, c.proxies, 2, c.catchingUp)
			now += cache.applyTime() + Second // now the origin has applied the last writes of a departed proxy
			cache.UpdateFleet(now, c.proxies, 2, c.catchingUp)
			if got := cache.Stats().Serving; got != c.serving {
				t.Errorf("serving: %v, want %v", got, c.serving)
			}
		})
	}
}

// The first report of a restarted proxy may arrive before its first heartbeat. Reports of its earlier process must not
// count as reports of the new one, and reports of the new one that are lost must be noticed.
func TestRestartedProxyIsCountedAnew(t *testing.T) {
	cache := New(0, Settings{
		ProxyName: "n1", Entries: 2048, TTL: 10 * Second, ReportGrace: Second, MaxNewKeysPerSecond: 50,
	})
	updateFleet := func(now Time, writeReports, incarnation int64) {
		cache.UpdateFleet(now, []Proxy{
			{Name: "n1", Reachable: true},
			{Name: "n2", Reachable: true, WriteReports: writeReports, Incarnation: incarnation},
		}, 2, false)
	}
	updateFleet(Second, 500, 1)
	cache.ReceiveWriteReport(2*Second, "n2", 2, KeyReport{Sequence: 1, Hashes: []uint64{7}})
	updateFleet(2*Second, 500, 1)
	if cache.Stats().Serving {
		t.Error("absent keys are served by the heartbeat of an earlier process")
	}
	flushes := cache.Stats().Flushes
	updateFleet(3*Second, 3, 2)
	if stats := cache.Stats(); stats.Flushes == flushes || stats.Serving {
		t.Errorf("two reports are outstanding, and the table is not flushed: %+v", stats)
	}
	updateFleet(9*Second, 3, 2)
	if !cache.Stats().Serving {
		t.Error("absent keys are not served after the flush")
	}
	updateFleet(10*Second, 4, 2)
	if stats := cache.Stats(); stats.AwaitedProxies != 1 {
		t.Errorf("one more report is outstanding: %+v", stats)
	}
}
