package negativecache

// maxOutOfOrder is how many write reports of a proxy are remembered at most while an earlier one is outstanding. Beyond
// that they count as lost.
const maxOutOfOrder = 4 * reportSlots

// writer is what this proxy knows of another one's write reports.
type writer struct {
	incarnation      int64
	received         int64          // all reports up to this sequence number arrived, or were given up
	outOfOrder       map[int64]bool // sequence numbers beyond that which arrived
	announced        int64          // number of reports sent, by the proxy's heartbeats
	outstandingSince Time           // since when announced reports have been outstanding; 0: none is
	departed         bool           // its process is known to have ended
	unreachable      bool           // it was unreachable, and reports that it sent meanwhile may be outstanding
	discovered       bool           // a heartbeat of this incarnation arrived
}

func newWriter(incarnation int64) *writer {
	return &writer{incarnation: incarnation, outOfOrder: map[int64]bool{}}
}

// restart forgets what is known of the proxy's earlier processes. The next heartbeat discovers the proxy anew.
func (w *writer) restart(incarnation int64) { *w = *newWriter(incarnation) }

// receive notes that a report of the current incarnation arrived.
func (w *writer) receive(sequence int64) {
	if sequence > w.received && len(w.outOfOrder) < maxOutOfOrder {
		w.outOfOrder[sequence] = true
	}
	for w.outOfOrder[w.received+1] {
		w.received++
		delete(w.outOfOrder, w.received)
	}
}

// announce notes how many reports the proxy has sent. Those that it sent before it was discovered do not matter: the
// table is flushed on discovery. It reports whether the proxy is discovered by that.
func (w *writer) announce(sent int64) bool {
	w.announced = max(w.announced, sent)
	if w.discovered {
		return false
	}
	w.discovered = true
	w.received = max(w.received, w.announced)
	return true
}

// outstanding returns how many announced reports did not arrive; it may be negative, as reports precede heartbeats.
func (w *writer) outstanding() int64 { return w.announced - w.received }

// giveUp no longer waits for the outstanding reports.
func (w *writer) giveUp() {
	w.received, w.outstandingSince, w.unreachable = w.announced, 0, false
	clear(w.outOfOrder)
}

// writerSet is the writers by the names of the proxies.
type writerSet map[string]*writer

// get returns the writer of a proxy, which it adds if it is new.
func (s writerSet) get(name string) *writer {
	w := s[name]
	if w == nil {
		w = newWriter(0)
		s[name] = w
	}
	return w
}

// retain removes the writers that are not among the proxies.
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
