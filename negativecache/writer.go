package negativecache

// maxOutOfOrder is the maximum number of a proxy's write reports that are recorded while an earlier report is
// outstanding. Further reports count as lost.
const maxOutOfOrder = 4 * reportSlots

// writer is the state of the write reports of another proxy.
type writer struct {
	incarnation      int64          // latest known incarnation of the proxy's process
	received         int64          // sequence number up to which all reports have arrived or count as lost
	outOfOrder       map[int64]bool // higher sequence numbers of reports that have arrived
	announced        int64          // number of sent reports, by the proxy's heartbeats
	outstandingSince Time           // time since which announced reports are outstanding, 0 if none is
	departed         bool           // whether the process is known to have ended
	unreachable      bool           // whether the proxy was unreachable and may have outstanding reports from that time
	discovered       bool           // whether a heartbeat of this incarnation arrived
}

func newWriter(incarnation int64) *writer {
	return &writer{incarnation: incarnation, outOfOrder: map[int64]bool{}}
}

// restart resets the state for a new incarnation of the proxy. The next heartbeat discovers the proxy again.
func (w *writer) restart(incarnation int64) { *w = *newWriter(incarnation) }

// receive records the arrival of a report of the current incarnation.
func (w *writer) receive(sequence int64) {
	if sequence > w.received && len(w.outOfOrder) < maxOutOfOrder {
		w.outOfOrder[sequence] = true
	}
	for w.outOfOrder[w.received+1] {
		w.received++
		delete(w.outOfOrder, w.received)
	}
}

// announce records the number of reports that the proxy has sent, and reports whether the proxy is thereby discovered.
// Reports sent before the discovery do not count as outstanding, since the table is flushed on discovery.
func (w *writer) announce(sent int64) bool {
	w.announced = max(w.announced, sent)
	if w.discovered {
		return false
	}
	w.discovered = true
	w.received = max(w.received, w.announced)
	return true
}

// outstanding returns the number of announced reports that have not arrived. It may be negative, because a report is sent
// before the heartbeat that announces it.
func (w *writer) outstanding() int64 { return w.announced - w.received }

// giveUp marks the outstanding reports as lost.
func (w *writer) giveUp() {
	w.received, w.outstandingSince, w.unreachable = w.announced, 0, false
	clear(w.outOfOrder)
}

// writerSet contains the writers by proxy name.
type writerSet map[string]*writer

// get returns the writer of the named proxy. It adds one if there is none.
func (s writerSet) get(name string) *writer {
	w := s[name]
	if w == nil {
		w = newWriter(0)
		s[name] = w
	}
	return w
}

// retain removes the writers whose proxies are not listed.
func (s writerSet) retain(proxies []Proxy) {
	listed := make(map[string]bool, len(proxies))
	for i := range proxies {
		listed[proxies[i].Name] = true
	}
	for name := range s {
		if !listed[name] {
			delete(s, name)
		}
	}
}
