package proxy

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

// handleSilence handles that a watch which has received no list, change or heartbeat yet is silent for too long. It stays
// open, because discovery may be slow, and another one is opened beside it, because the request may have been lost.
func (l *EndpointList) handleSilence(watch *endpointWatch) {
	if watch != l.current {
		return // another watch is open already
	}
	l.current = nil
	l.reportWatching(false)
	l.counters.WatchesLate.Add(1)
	if l.isNewError("no answer") {
		l.log.Warn("discovery is late; requesting another watch beside the open one",
			zap.Duration("silent", time.Since(watch.requestedAt)), zap.Int64("index", l.index))
	}
	l.late = append(l.late, watch)
	if excess := l.lateWatches.Excess(len(l.late), time.Since(l.late[0].requestedAt)); excess >= 0 {
		l.counters.WatchesAbandoned.Add(1)
		l.late[excess].cancel()
		l.late = slices.Delete(l.late, excess, excess+1)
	}
	l.startWatch()
}

// handleAnswer handles that discovery has begun to answer a watch. The other unanswered watches are no longer needed,
// and their answers would cost discovery and this process as much again.
func (l *EndpointList) handleAnswer(watch *endpointWatch) {
	isLate := slices.Contains(l.late, watch)
	if !l.makeCurrent(watch) {
		return
	}
	watch.answered = true
	if isLate {
		l.log.Info("discovery has answered late", zap.Duration("after", time.Since(watch.requestedAt)))
	}
	l.late = slices.DeleteFunc(l.late, func(other *endpointWatch) bool {
		if !other.answered {
			other.cancel()
		}
		return !other.answered
	})
}

// makeCurrent replaces the current watch by a late one that has received something, and reports whether the watch is the
// current one then.
func (l *EndpointList) makeCurrent(watch *endpointWatch) bool {
	if i := slices.Index(l.late, watch); i >= 0 {
		l.late = slices.Delete(l.late, i, i+1)
		if l.current != nil {
			l.current.cancel()
		}
		l.current = watch
	}
	return watch == l.current
}

// handleActivity records that a watch has received something, possibly only a heartbeat. The first input on the current
// watch ends the late watches and the watch of the previous address.
func (l *EndpointList) handleActivity(watch *endpointWatch) {
	if !l.makeCurrent(watch) {
		return
	}
	for _, other := range l.late {
		other.cancel()
	}
	l.late = nil
	l.lateWatches.Reset()
	l.lastError, l.failures = "", 0
	l.reportWatching(true)
	if l.previous != nil {
		l.previous.cancel()
		l.previous = nil
	}
	if !l.receivedFirst {
		l.receivedFirst = true
		close(l.firstMessage)
	}
}
