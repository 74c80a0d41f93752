package emulator

import (
	"slices"
	"strings"
)

// measureGossip adds to the report the propagation times of announced nodes and the catch-up times, both from the logs of
// the proxies, and the gossip traffic.
func (r *runner) measureGossip(report *Report) {
	if !r.plan.Scenario.Gossip.On {
		return
	}
	receivedAt := r.readGossipLogs(report)
	for _, a := range r.announcements {
		r.measureAnnouncement(report, a, receivedAt[a.node])
	}
	slices.Sort(report.PropagationTimes)
	slices.Sort(report.CatchUpTimes)
	measureGossipTraffic(report)
}

// readGossipLogs adds the catch-up times of proxies to the report. It returns, by node and proxy, the time in Unix seconds
// at which the proxy first listed the node.
func (r *runner) readGossipLogs(report *Report) map[string]map[int]float64 {
	receivedAt, begun := map[string]map[int]float64{}, map[int]float64{}
	r.eachLogLine(func(proxy int, line logLine) {
		switch {
		case line.Msg == messageStarted || strings.HasPrefix(line.Msg, messageStalled):
			begun[proxy] = line.At
		case strings.HasPrefix(line.Msg, messageCaughtUp) && begun[proxy] > 0:
			report.CatchUpTimes = append(report.CatchUpTimes, seconds(line.At-begun[proxy]))
			begun[proxy] = 0
		case line.Msg == messageNewRow:
			if receivedAt[line.Peer] == nil {
				receivedAt[line.Peer] = map[int]float64{}
			}
			if _, ok := receivedAt[line.Peer][proxy]; !ok {
				receivedAt[line.Peer][proxy] = line.At
			}
		}
	})
	return receivedAt
}

// measureAnnouncement adds to the report the times that the other proxies took to receive an announced node. receivedAt
// holds, by proxy, the time in Unix seconds at which the node was received.
func (r *runner) measureAnnouncement(report *Report, a announcement, receivedAt map[int]float64) {
	processes := newProcessHistory(report.Events)
	for i := range r.proxies {
		at, ok := receivedAt[i]
		if processes.wasPaused(i, a.at.Sub(r.log.start), r.sinceStart(at)) {
			continue // a paused proxy can't receive anything
		}
		if ok && i != a.proxy {
			report.PropagationTimes = append(report.PropagationTimes, seconds(at-float64(a.at.UnixMicro())/1e6))
		} else if !ok {
			report.NeverPropagated++
		}
	}
}

// measureGossipTraffic calculates the mean gossip traffic per proxy from successive status reports of the same process.
func measureGossipTraffic(report *Report) {
	var bytes, packets, elapsed float64
	latest := map[int]Event{}
	for _, e := range report.Events {
		if e.Kind != QuotaReported {
			continue
		}
		if before, ok := latest[e.Proxy]; ok && e.GossipBytes >= before.GossipBytes { // a new process counts from 0
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
