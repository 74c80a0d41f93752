package emulator

import (
	"time"
)

// replyCheck checks FinalReplyRule.
type replyCheck struct {
	*findings
	processes   *processHistory
	routes      map[string]Route // by request
	lastSent    map[string]Event // by request
	replyCount  map[string]int   // by request
	abandoned   map[string]bool  // requests whose client left, or whose connection was closed and that were not sent again
	forwarded   map[string]bool  // requests of which an upstream received an attempt
	lastEventAt time.Duration    // time of the latest event
	breaksConns bool             // a fault breaks the proxies' own connections
	broken      map[string]bool  // requests whose response was broken off by the node
	endedAmid   []Event          // closed connections amid replies that began in time
}

func (a *replyCheck) observeRequest(e Event) {
	a.lastSent[e.RequestID] = e
	delete(a.abandoned, e.RequestID)
}

// observeConnectionClosed checks that a connection was not closed under a request. It reports at most one violation for each
// request.
func (a *replyCheck) observeConnectionClosed(e Event) {
	if a.abandoned[e.RequestID] || a.replyCount[e.RequestID] > 0 || e.Note == noteReused {
		return
	}
	if a.processes.wasKilled(e.Proxy, e.At-killWindow, e.At+killWindow) {
		a.abandoned[e.RequestID] = e.Note == noteDuringReply && a.beganInTime(e)
		return
	}
	a.abandoned[e.RequestID] = true
	if e.Note == noteDuringReply && a.beganInTime(e) {
		a.endedAmid = append(a.endedAmid, e)
		return
	}
	if !a.forwarded[e.RequestID] && a.processes.wasCrowded(e.Proxy, e.At, e.At) {
		return // the proxy had not read the request
	}
	a.violate(FinalReplyRule, e, "proxy %d closed the connection before it replied to request %s", e.Proxy, e.RequestID)
}

// beganInTime reports whether the first byte of the reply that ends with the event came before the request's timeout.
func (a *replyCheck) beganInTime(e Event) bool {
	limit := millis(a.routes[e.RequestID].TimeoutMS) + timingSlack
	return e.At-millis(e.Figure)-a.lastSent[e.RequestID].At <= limit
}

// observeReply checks that a reply is the only one to its request and arrives in time. It reports whether the reply is the
// first one to a request that was sent.
func (a *replyCheck) observeReply(e Event) bool {
	if a.replyCount[e.RequestID]++; a.replyCount[e.RequestID] > 1 {
		a.violate(FinalReplyRule, e, "request %s received %d replies", e.RequestID, a.replyCount[e.RequestID])
		return false
	}
	sent, ok := a.lastSent[e.RequestID]
	if !ok {
		a.violate(FinalReplyRule, e, "request %s received a reply but was never sent", e.RequestID)
		return false
	}
	if !a.beganInTime(e) && !a.processes.wasPaused(e.Proxy, sent.At, e.At) {
		a.violate(FinalReplyRule, e, "request %s received its reply after %v, limit %v", e.RequestID, e.At-millis(e.Figure)-sent.At,
			millis(a.routes[e.RequestID].TimeoutMS)+timingSlack)
	}
	return true
}

// checkEndedAmidReply reports, after the last event, the replies that ended early although neither the node nor a fault had
// broken their response off. A proxy can't finish a reply whose response breaks off, and its client can tell.
func (a *replyCheck) checkEndedAmidReply() {
	for _, e := range a.endedAmid {
		if !a.broken[e.RequestID] && !a.breaksConns {
			a.violate(FinalReplyRule, e, "proxy %d closed the connection amid its reply to request %s", e.Proxy, e.RequestID)
		}
	}
}

// checkUnanswered reports, after the last event, the requests whose timeout passed without a reply.
func (a *replyCheck) checkUnanswered() {
	for id, e := range a.lastSent {
		end := e.At + millis(a.routes[id].TimeoutMS) + timingSlack
		if a.replyCount[id] > 0 || a.abandoned[id] || a.lastEventAt < end {
			continue
		}
		if !a.processes.wasKilled(e.Proxy, e.At-killWindow, end) && !a.processes.wasPaused(e.Proxy, e.At, end) {
			a.violate(FinalReplyRule, e, "request %s received no reply from proxy %d", id, e.Proxy)
		}
	}
}
