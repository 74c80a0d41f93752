package negativecache

import "fmt"

// Proxy is the state of a proxy that may write, by the gossip of the fleet.
type Proxy struct {
	Name         string
	Reachable    bool  // its heartbeats arrive
	Departed     bool  // its process is known to have ended
	WriteReports int64 // write reports that its process has sent, by its latest heartbeat
	Incarnation  int64 // incarnation of its process
}

// fleetReview is the result of comparing what the proxies announced with the write reports that arrived.
type fleetReview struct {
	now            Time
	grace          Time // how long announced reports may be outstanding
	applyTime      Time // how long the origin may still apply a write after it was accepted
	complete       bool // every running proxy is reachable, and its reports arrived or are not late yet
	awaitedProxies int  // proxies with outstanding reports
	flushReason    string
	holdUntil      Time // until when lost writes may be applied, as far as that is known; 0: it is not
}

// proxy adds a proxy other than this one to the review. Of several reasons for a flush, the last one stands.
func (r *fleetReview) proxy(w *writer, p *Proxy) {
	if p.Departed {
		r.departed(w, p)
		return
	}
	if p.Incarnation < w.incarnation { // the heartbeat is of an earlier process than a report that already arrived
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
	r.outstanding(w, p)
}

// departed handles a proxy whose process has ended: its last reports may not have arrived, and the origin may still
// apply its last writes.
func (r *fleetReview) departed(w *writer, p *Proxy) {
	if !w.departed {
		w.departed = true
		r.flushReason = fmt.Sprintf("proxy %s departed", p.Name)
	}
}

// outstanding handles a proxy whose announced reports did not all arrive.
func (r *fleetReview) outstanding(w *writer, p *Proxy) {
	r.awaitedProxies++
	r.complete = r.complete && !w.unreachable
	switch {
	case w.outstandingSince == 0:
		w.outstandingSince = max(r.now, 1) // 0 means that none is outstanding
	case r.now-w.outstandingSince >= r.grace:
		r.flushReason = fmt.Sprintf("%d write reports of proxy %s were lost", w.outstanding(), p.Name)
		r.holdUntil = max(r.holdUntil, w.outstandingSince+r.applyTime) // they were sent before that instant
		w.giveUp()
	}
}
