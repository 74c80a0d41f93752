package server

import (
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/proxy"

	"go.uber.org/zap"
)

const (
	// acceptGrace is the time after the signal to stop during which clients are still accepted, while the other processes
	// are notified that the proxy leaves.
	acceptGrace = 450 * time.Millisecond

	// A supervisor kills a stopping process at the earliest after the longest overall timeout, limited to maxOverallWait,
	// plus 0.7 s. All requests are answered earlier: after the same timeout plus replyMargin.
	maxOverallWait = 3 * time.Second
	replyMargin    = 400 * time.Millisecond

	// writeGrace is additional time for replies that are still being written by then, if the process is not killed.
	writeGrace = 1500 * time.Millisecond

	tenthOfMillisecond = 100 * time.Microsecond
)

// replyTimeout returns the time after the signal to stop within which all requests are answered. The argument is the
// longest overall timeout of all routes.
func replyTimeout(longest balancer.Time) time.Duration {
	return min(time.Duration(longest)*tenthOfMillisecond, maxOverallWait) + replyMargin
}

// drainSchedule returns the times at which client connections are closed, relative to the closing of the listener and
// within the remaining time. Clients continue to use open connections. Without a successor the clients lose a proxy, so
// they are served for longer.
func drainSchedule(hasSuccessor bool, remaining time.Duration) proxy.DrainSchedule {
	schedule := proxy.DrainSchedule{CloseAfterReply: 500 * time.Millisecond, CloseIdle: 800 * time.Millisecond, StopReading: time.Second}
	if hasSuccessor {
		schedule = proxy.DrainSchedule{CloseAfterReply: 0, CloseIdle: 400 * time.Millisecond, StopReading: 800 * time.Millisecond}
	}
	schedule.CloseAfterReply = min(schedule.CloseAfterReply, remaining*2/5)
	schedule.CloseIdle = min(schedule.CloseIdle, remaining*3/5)
	schedule.StopReading = min(schedule.StopReading, remaining*4/5)
	return schedule
}

// shutDown drains clients and leaves the fleet. The argument is the configuration in effect.
func (s *server) shutDown(config *Config) {
	hasSuccessor := s.successors.SuccessorCount() > 0
	s.log.Info("stopping", zap.Bool("replaced", hasSuccessor))
	s.admin.stopping.Store(true)

	gossipStopped := make(chan struct{})
	stopGossip := func() { // blocks until pending rows were sent to the peers
		s.gossip.stop(hasSuccessor)
		close(gossipStopped)
	}
	// With a negative cache, gossip runs until the end, because the other proxies must receive reports of all writes. With
	// a successor it does so too: the successor starts gossip only after this process has exited, and without gossip this
	// name would send no heartbeats while clients are still served.
	stopsEarly := !hasSuccessor && config.NegativeCache == nil
	if stopsEarly {
		go stopGossip()
	}

	remaining := replyTimeout(config.Settings.LongestTimeout)
	s.router.FinishWithin(remaining)
	deadline := time.Now().Add(remaining + writeGrace)
	if !hasSuccessor {
		time.Sleep(acceptGrace)
		remaining -= acceptGrace
	}
	s.clientListener.Close(deadline, !hasSuccessor, drainSchedule(hasSuccessor, remaining))
	if !stopsEarly {
		stopGossip()
	}
	s.successors.Close()
	<-gossipStopped
	s.log.Info("stopped", counterFields(s.counters)...)
}
