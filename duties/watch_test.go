package duties

import (
	"fmt"
	"math"
	"testing"
)

// watchFault is what goes wrong with the watchers of a fleet.
type watchFault string

const (
	noFault     watchFault = "no fault"
	watchersDie watchFault = "watchers die"
	watchesHang watchFault = "watches hang"
	reportsLost watchFault = "a third of the reports lost"
)

const (
	smallFleet   = 8          // up to this size, watchers do not die in the test
	settlingTime = 8 * Second // after which the number of watchers is stable
	maxSurplus   = 3          // times as many watchers as configured may be left after a fault
	firstEvent   = Second / 2 // from the start of a watch until it works, with a margin
)

// However many watchers die at once or have watches that hang, some proxy watches again within the time that the
// settings imply, and in the end few do.
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
		t.Errorf("%d proxies watch, want %d", got, want)
	}
	injectWatchFault(s, fault)
	s.lastWatched, s.longestGap = s.now, 0
	s.run(settlingTime)
	allWatchesHang := size <= 7 && fault == watchesHang
	if limit := takeoverLimit(size); s.longestGap > limit && !allWatchesHang {
		t.Errorf("no proxy watches for %.2f s, want at most %.2f s", seconds(s.longestGap), seconds(limit))
	}
	s.shareMembership()
	if size <= smallFleet {
		return
	}
	s.run(settlingTime)
	if got := s.watchingCount(); got < defaultSettings.Watchers || got > maxSurplus*defaultSettings.Watchers {
		t.Errorf("%d proxies watch in the end", got)
	}
}

// injectWatchFault strikes all present watchers at once; no proxy is told of it.
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

// takeoverLimit is how long a fleet may be without a watch: until the leases expire, the takeover delays until all
// proxies are wanted, and the start of a watch.
func takeoverLimit(size int) Time {
	doublings := Time(math.Ceil(math.Log2(float64(size)/float64(defaultSettings.Watchers)))) + 1
	return defaultSettings.LeaseDuration + defaultSettings.HeartbeatInterval + max(doublings, 1)*defaultSettings.TakeoverDelay + firstEvent
}

// When all proxies watch, as after a fault that hit most of them, all but a few stop again though reports take two
// seconds. With leases of a second and a half none ever did: found with sixty processes on a busy machine.
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
				p.watch.shortSince, p.watch.assigned, p.changed = s.now, true, true
			}
			s.run(12 * Second)
			if got := s.watchingCount(); (got <= 4*defaultSettings.Watchers) != c.wantStop {
				t.Errorf("%d of 60 proxies watch", got)
			}
		})
	}
}

// On both sides of a partition that no proxy is told of, some soon watch.
func TestBothSidesOfAPartitionWatch(t *testing.T) {
	s := newSimulation(60, defaultSettings, 6)
	s.shareMembership()
	s.run(5 * Second)
	inMinority := func(proxy int) bool { return proxy%10 == 0 }
	s.partitioned = func(a, b int) bool { return inMinority(a) != inMinority(b) }
	s.run(defaultSettings.LeaseDuration + defaultSettings.HeartbeatInterval + 6*defaultSettings.TakeoverDelay + firstEvent)
	watching := 0
	for i, p := range s.proxies {
		if inMinority(i) && p.watches && p.watchLive > 0 {
			watching++
		}
	}
	if watching < 2 {
		t.Errorf("%d of the six proxies in the minority watch, want two at least", watching)
	}
}
