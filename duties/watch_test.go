package duties

import (
	"fmt"
	"math"
	"testing"
)

// watchFault is a fault that is injected into the watchers of a fleet.
type watchFault string

const (
	noFault     watchFault = "no fault"
	watchersDie watchFault = "watchers are killed"
	watchesHang watchFault = "watches hang"
	reportsLost watchFault = "a third of the reports lost"
)

const (
	smallFleet    = 8          // maximum size of a fleet whose watchers are not killed
	settlingTime  = 8 * Second // time after which the number of watchers is stable
	maxSurplus    = 3          // maximum ratio of watchers after a fault to the configured number
	maxWatchStart = Second / 2 // time from the start of a watch until it works, with a margin
)

// When all watchers are killed at once or their watches hang, some proxy watches again within the time that follows
// from the settings, and the number of watchers finally returns to few.
func TestSomeProxyAlwaysWatches(t *testing.T) {
	for _, size := range []int{2, 7, 8, 24, 300} {
		for _, fault := range []watchFault{noFault, watchersDie, watchesHang, reportsLost} {
			t.Run(fmt.Sprintf("%d proxies, %s", size, fault), func(t *testing.T) {
				s := newSimulation(size, defaultSettings, 4)
				if fault == reportsLost {
					s.lossRate = 0.33
				}
				checkTakeover(t, s, fault)
			})
		}
	}
}

func checkTakeover(t *testing.T, s *simulation, fault watchFault) {
	t.Helper()
	size := len(s.proxies)
	s.shareMembership()
	s.run(settlingTime)
	if got, want := s.watchingCount(), min(size, defaultSettings.Watchers); got != want && fault != reportsLost {
		t.Errorf("before the fault: got %d watchers, want %d", got, want)
	}
	injectWatchFault(s, fault)
	s.lastWatched, s.longestGap = s.now, 0
	s.run(settlingTime)
	allWatchesHang := size <= 7 && fault == watchesHang
	if limit := takeoverLimit(size); s.longestGap > limit && !allWatchesHang {
		t.Errorf("got %.2f s without a watch, want at most %.2f s", seconds(s.longestGap), seconds(limit))
	}
	s.shareMembership()
	if size <= smallFleet {
		return
	}
	s.run(settlingTime)
	if got := s.watchingCount(); got < defaultSettings.Watchers || got > maxSurplus*defaultSettings.Watchers {
		t.Errorf("after the fault: got %d watchers, want 1 to maxSurplus times the configured number", got)
	}
}

// injectWatchFault injects a fault into all current watchers at once. The membership views do not change.
func injectWatchFault(s *simulation, fault watchFault) {
	for _, p := range s.proxies {
		switch {
		case p.watches && fault == watchesHang:
			p.watchHangs = true
			p.SetWatchLive(s.now, false)
		case p.watches && fault == watchersDie && len(s.proxies) > smallFleet:
			p.up = false
		}
	}
}

// takeoverLimit returns the maximum time that a fleet may be without a watch: the expiry of the leases, the takeover
// delays until all proxies are eligible, and the start of a watch.
func takeoverLimit(size int) Time {
	doublings := Time(math.Ceil(math.Log2(float64(size)/float64(defaultSettings.Watchers)))) + 1
	return defaultSettings.LeaseDuration + defaultSettings.HeartbeatInterval +
		max(doublings, 1)*defaultSettings.TakeoverDelay + maxWatchStart
}

// When all proxies watch, as after a fault of most watchers, all but a few stop again even if reports take two seconds.
// With leases of 1.5 seconds, which are shorter than that delay, none stopped; this was observed with sixty processes on
// an overloaded machine.
func TestSurplusWatchersStopWhenReportsAreLate(t *testing.T) {
	const reportDelay = 2 * Second
	for _, c := range []struct {
		name     string
		lease    Time
		wantStop bool
	}{
		{"leases are longer than the delay of reports", 5 * Second / 2, true},
		{"leases are shorter than the delay of reports", 3 * Second / 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := defaultSettings
			settings.HeartbeatInterval, settings.LeaseDuration = 7*Second/10, c.lease
			s := newSimulation(60, settings, 9)
			s.minDelay = reportDelay
			s.shareMembership()
			for _, p := range s.proxies {
				p.watch.shortageSince, p.watch.assigned, p.changed = s.now, true, true
			}
			s.run(12 * Second)
			if got := s.watchingCount(); (got <= 4*defaultSettings.Watchers) != c.wantStop {
				t.Errorf("got %d watchers among 60 proxies", got)
			}
		})
	}
}

// After a partition that is not yet in the membership views, proxies on both sides soon watch.
func TestBothSidesOfAPartitionWatch(t *testing.T) {
	s := newSimulation(60, defaultSettings, 6)
	s.shareMembership()
	s.run(5 * Second)
	inMinority := func(proxy int) bool { return proxy%10 == 0 }
	s.partitioned = func(a, b int) bool { return inMinority(a) != inMinority(b) }
	s.run(defaultSettings.LeaseDuration + defaultSettings.HeartbeatInterval + 6*defaultSettings.TakeoverDelay + maxWatchStart)
	watching := 0
	for i, p := range s.proxies {
		if inMinority(i) && p.watches && p.watchLive > 0 {
			watching++
		}
	}
	if watching < 2 {
		t.Errorf("got %d watchers among the six proxies in the minority, want at least 2", watching)
	}
}
