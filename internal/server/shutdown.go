package server

import (
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/proxy"

	"go.uber.org/zap"
)

const (
	// acceptGrace is how long clients are accepted after the signal to stop, while others learn that the proxy leaves.
	acceptGrace = 450 * time.Millisecond

	// Supervisors kill a process that was told to stop no sooner than after the longest overall timeout, bounded by
	// maxOverallWait, and 0.7 s more. All requests are answered answerMargin after that timeout, a little before.
	maxOverallWait = 3 * time.Second
	answerMargin   = 400 * time.Millisecond

	// writeGrace is for answers that are still being written by then, where the process is not killed.
	writeGrace = 1500 * time.Millisecond

	tenthOfMillisecond = 100 * time.Microsecond
)

// answerTimeout returns how long after the signal to stop all requests are answered; longest is the longest overall
// timeout of a route.
func answerTimeout(longest balancer.Time) time.Duration {
	return min(time.Duration(longest)*tenthOfMillisecond, maxOverallWait) + answerMargin
}

// drainSchedule returns when connections are closed once no client is accepted any more, within the time that
// remains. Clients go on using connections that stay open. Without a successor they lose a proxy, so they are served
// for longer.
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

// shutDown drains clients and leaves the fleet. The configuration is the one in effect.
func (s *server) shutDown(config *Config) {
	hasSuccessor := s.successors.SuccessorCount() > 0
	s.log.Info("stopping", zap.Bool("replaced", hasSuccessor))
	s.admin.stopping.Store(true)

	gossipStopped := make(chan struct{})
	stopGossip := func() { // waits for what is being sent to peers
		s.gossip.stop(hasSuccessor)
		close(gossipStopped)
	}
	// The others have to hear of writes until the last one where there is a negative cache. A successor begins to gossip
	// once this process has exited, and the name would be silent for as long as clients are served.
	stopsEarly := !hasSuccessor && config.NegativeCache == nil
	if stopsEarly {
		go stopGossip()
	}

	remaining := answerTimeout(config.Settings.LongestTimeout)
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
