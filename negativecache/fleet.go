package negativecache

import "fmt"

// Proxy is the state of a proxy that may write, according to gossip.
type Proxy struct {
	Name         string
	Reachable    bool  // whether heartbeats of the proxy arrive
	Departed     bool  // whether the process is known to have ended
	WriteReports int64 // number of write reports that the process has sent, by its latest heartbeat
	Incarnation  int64 // incarnation of the process
}

// fleetReview is the result of a comparison of the announced write reports with those that arrived.
type fleetReview struct {
	now          Time
	grace        Time // maximum time for which announced reports may be outstanding
	maxApplyTime Time // maximum time from the acceptance of a write until the origin applies it

	// complete is false if a running proxy is unreachable, if reports from a time when it was unreachable are outstanding,
	// or if its latest heartbeat is from an earlier process.
	complete bool

	awaitedProxies int    // number of proxies with outstanding reports
	flushReason    string // reason to flush the table, empty if there is none
	holdUntil      Time   // time until which the origin may apply writes whose reports were lost, 0 if it is unknown
}

// addProxy adds a proxy other than this one to the review. If there are several reasons for a flush, the last one is
// kept.
func (r *fleetReview) addProxy(w *writer, p *Proxy) {
	if p.Departed {
		r.addDeparted(w, p)
		return
	}
	if p.Incarnation < w.incarnation { // the heartbeat is from an earlier process than a report that already arrived
		r.complete = false
		return
	}
	w.departed = false
	if !p.Reachable {
		r.complete = false
		w.unreachable = true
	}
	if p.Incarnation > w.incarnation {
		w.restart(p.Incarnation)
	}
	if w.announce(p.WriteReports) { // the last reports of an earlier process may not have arrived
		r.flushReason = fmt.Sprintf("proxy %s was discovered or restarted", p.Name)
	}
	if w.outstanding() <= 0 {
		w.outstandingSince = 0
		w.unreachable = w.unreachable && !p.Reachable
		return
	}
	r.addOutstanding(w, p)
}

// addDeparted adds a proxy whose process has ended. The table is flushed once, because the last reports of the process may
// not have arrived and the origin may still apply its last writes.
func (r *fleetReview) addDeparted(w *writer, p *Proxy) {
	if !w.departed {
		w.departed = true
		r.flushReason = fmt.Sprintf("proxy %s departed", p.Name)
	}
}

// addOutstanding adds a proxy with announced reports that have not arrived. After the grace period they count as lost.
func (r *fleetReview) addOutstanding(w *writer, p *Proxy) {
	r.awaitedProxies++
	r.complete = r.complete && !w.unreachable
	switch {
	case w.outstandingSince == 0:
		w.outstandingSince = max(r.now, 1) // 0 means that no report is outstanding
	case r.now-w.outstandingSince >= r.grace:
		r.flushReason = fmt.Sprintf("%d write reports of proxy %s were lost", w.outstanding(), p.Name)
		// The lost reports were sent before outstandingSince.
		r.holdUntil = max(r.holdUntil, w.outstandingSince+r.maxApplyTime)
		w.giveUp()
	}
}
