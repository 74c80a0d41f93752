package emulator

import (
	"slices"
	"strings"
	"time"
)

// measureGossip reads from the proxies' logs when each learnt of announced nodes and caught up, and calculates the traffic.
func (r *runner) measureGossip(report *Report) {
	if !r.plan.Scenario.Gossip.On {
		return
	}
	learntAt := r.readGossipLogs(report)
	for _, a := range r.announcements {
		r.measureAnnouncement(report, a, learntAt[a.node])
	}
	slices.Sort(report.PropagationTimes)
	slices.Sort(report.CatchUpTimes)
	measureGossipTraffic(report)
}

// readGossipLogs collects how long proxies took to catch up, and returns by node and proxy when each was first on the list, in
// Unix seconds.
func (r *runner) readGossipLogs(report *Report) map[string]map[int]float64 {
	learntAt, begun := map[string]map[int]float64{}, map[int]float64{}
	r.eachLogLine(func(proxy int, line logLine) {
		switch {
		case line.Msg == messageStarted || strings.HasPrefix(line.Msg, messageStalled):
			begun[proxy] = line.At
		case strings.HasPrefix(line.Msg, messageCaughtUp) && begun[proxy] > 0:
			report.CatchUpTimes = append(report.CatchUpTimes, seconds(line.At-begun[proxy]))
			begun[proxy] = 0
		case line.Msg == messageNewRow:
			if learntAt[line.Peer] == nil {
				learntAt[line.Peer] = map[int]float64{}
			}
			if _, ok := learntAt[line.Peer][proxy]; !ok {
				learntAt[line.Peer][proxy] = line.At
			}
		}
	})
	return learntAt
}

// measureAnnouncement collects how long the other proxies took to learn of an announced node, by when each did.
func (r *runner) measureAnnouncement(report *Report, a announcement, learntAt map[int]float64) {
	for i := range r.proxies {
		at, ok := learntAt[i]
		if r.wasPaused(report.Events, i, a.at, at) {
			continue // it could receive nothing
		}
		if ok && i != a.proxy {
			report.PropagationTimes = append(report.PropagationTimes, seconds(at-float64(a.at.UnixMicro())/1e6))
		} else if !ok {
			report.NeverPropagated++
		}
	}
}

// measureGossipTraffic calculates the mean traffic of a proxy from successive status reports of the same process.
func measureGossipTraffic(report *Report) {
	var bytes, packets, elapsed float64
	latest := map[int]Event{}
	for _, e := range report.Events {
		if e.Kind != QuotaReported {
			continue
		}
		if before, ok := latest[e.Proxy]; ok && e.GossipBytes >= before.GossipBytes { // else a new process counts anew
			bytes += float64(e.GossipBytes - before.GossipBytes)
			packets += float64(e.GossipPackets - before.GossipPackets)
			elapsed += (e.At - before.At).Seconds()
		}
		latest[e.Proxy] = e
	}
	if elapsed > 0 {
		report.GossipBytesPerSecond, report.GossipPacketsPerSecond = bytes/elapsed, packets/elapsed
	}
}

// wasPaused reports whether a proxy was paused between a moment and another, which is a log's in Unix seconds.
func (r *runner) wasPaused(events []Event, proxy int, from time.Time, to float64) bool {
	begin, pausedAt := from.Sub(r.log.start), time.Duration(-1)
	end := seconds(to - float64(r.log.start.UnixMicro())/1e6)
	for _, e := range events {
		if e.Kind != ProcessPaused || e.Proxy != proxy {
			continue
		}
		if e.Note != pauseEnds {
			pausedAt = e.At
		} else if pausedAt <= end && e.At >= begin {
			return true
		}
	}
	return false
}
