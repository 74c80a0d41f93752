package proxy

import (
	"slices"
	"time"

	"woodproxy/internal/lifecycle"

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
	if len(l.late) == 1 {
		l.setLateDeadline(l.notifiedAt)
	}
	l.closeLateWatches(false)
	l.startWatch()
}

// setLateDeadline sets the time at which the oldest late watch is closed: shortly before the given time or, if that has
// passed, before notificationTime from now. It may be the only one that discovery serves, and may be lost.
func (l *EndpointList) setLateDeadline(notifiedAt time.Time) {
	now := time.Now()
	l.lateDeadline = notifiedAt.Add(-notificationMargin)
	if !l.lateDeadline.After(now) {
		l.lateDeadline = now.Add(notificationTime - notificationMargin)
	}
	time.AfterFunc(l.lateDeadline.Sub(now), func() {
		l.mailbox.post(func() {
			if l.closeLateWatches(false) {
				l.startWatch()
			}
		})
	})
}

// closeLateWatches closes the late watches that may not stay open, and reports whether there were any.
func (l *EndpointList) closeLateWatches(newerRejected bool) bool {
	now, count := time.Now(), len(l.late)
	if count == 0 {
		return false
	}
	oldest, remaining := l.late[0], make([]*endpointWatch, 0, count)
	for i, watch := range l.late {
		conditions := lifecycle.LateWatchConditions{
			Position: i, Count: count, Age: now.Sub(watch.requestedAt), Overdue: !now.Before(l.lateDeadline), NewerRejected: newerRejected,
		}
		if conditions.MayStayOpen() {
			remaining = append(remaining, watch)
			continue
		}
		l.counters.WatchesAbandoned.Add(1)
		watch.cancel()
	}
	if l.late = remaining; len(remaining) > 0 && remaining[0] != oldest {
		l.setLateDeadline(now.Add(notificationTime - watchSilenceTimeout)) // it has had about as much time already
	}
	return len(remaining) < count
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
	watch.active = true
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
