package negativecache

import "testing"

// The cases run in sequence on the same cache.
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
			now += cache.maxApplyTime() + Second // by then the origin has applied the last writes of a departed proxy
			cache.UpdateFleet(now, c.proxies, 2, c.catchingUp)
			if got := cache.Stats().Serving; got != c.serving {
				t.Errorf("got Serving %v, want %v", got, c.serving)
			}
		})
	}
}

// When the first report of a restarted proxy arrives before its first heartbeat, the count announced by the earlier
// process must not apply to the new one, and lost reports of the new process must be detected.
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
		t.Error("got absent keys served with the heartbeat of an earlier process")
	}
	flushes := cache.Stats().Flushes
	updateFleet(3*Second, 3, 2)
	if stats := cache.Stats(); stats.Flushes == flushes || stats.Serving {
		t.Errorf("two reports outstanding: got %+v, want a flush and no serving", stats)
	}
	updateFleet(9*Second, 3, 2)
	if !cache.Stats().Serving {
		t.Error("got no absent keys served after the flush")
	}
	updateFleet(10*Second, 4, 2)
	if stats := cache.Stats(); stats.AwaitedProxies != 1 {
		t.Errorf("one more report outstanding: got %+v, want 1 awaited proxy", stats)
	}
}
