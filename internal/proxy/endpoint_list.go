package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"woodproxy/internal/lifecycle"
	"woodproxy/internal/wire"

	"go.uber.org/zap"
)

const (
	endpointMailboxSize = 64
	maxBackoffDoublings = 8 // enough for the backoff to exceed maxWatchBackoff
	// endpointRandomStream separates the list's random numbers from others with the same seed.
	endpointRandomStream = 1
)

// EndpointList is the goroutine of the endpoint list: it watches or polls discovery and passes changes to the router.
type EndpointList struct {
	mailbox       mailbox
	addr          string // address of discovery
	router        *Router
	counters      *Counters
	log           *zap.Logger
	random        *rand.Rand
	peerEndpoints *peerEndpoints // endpoints reported by other proxies; nil: there are no other proxies
	duties        *Duties        // nil: every proxy watches discovery itself
	delegated     bool           // other proxies have the duty to watch

	index         int64            // index of the latest list or change of the current watch
	current       *endpointWatch   // nil: none is open
	late          []*endpointWatch // watches that discovery has not answered in time, the oldest first
	lateDeadline  time.Time        // the oldest late watch is closed at this time
	notifiedAt    time.Time        // the changes that were missed since the last watch are expected to be applied by then
	previous      *endpointWatch   // watch of the previous address, until the current watch has received something
	failures      int              // consecutive watches that received nothing
	lastError     string           // error of the last watch; a series of equal errors is logged once
	receivedFirst bool             // a watch has received something, possibly only a heartbeat
	receivedEvent bool             // a watch has received a list or a change
	firstMessage  chan struct{}    // closed when discovery has sent something
	latestIndex   atomic.Int64     // latest index reported by discovery or another proxy; written by this goroutine
}

// NewEndpointList returns the endpoint list that watches discovery at an address. initial is the list that was known
// before this process started. It is passed to the router; nil means that there is none.
func NewEndpointList(
	addr string, initial *wire.EndpointList, router *Router, seed uint64, counters *Counters, log *zap.Logger,
) *EndpointList {
	l := &EndpointList{
		mailbox: make(mailbox, endpointMailboxSize), addr: addr, router: router, firstMessage: make(chan struct{}),
		random: rand.New(rand.NewPCG(seed, endpointRandomStream)), counters: counters, log: log,
	}
	update := endpointUpdate{complete: true, source: listKnownAtStart}
	if initial != nil {
		l.index, update.endpoints = initial.Index, initial.Endpoints
	}
	router.mailbox.post(func() {
		router.endpoints = l
		router.updateEndpoints(update)
	})
	return l
}

// FirstMessage returns a channel that is closed when discovery has sent something.
func (l *EndpointList) FirstMessage() <-chan struct{} { return l.firstMessage }

// LatestIndex returns the latest index that discovery or another proxy has reported since the start, or 0 if there is
// none.
func (l *EndpointList) LatestIndex() int64 { return l.latestIndex.Load() }

// Run executes posted calls until the process ends.
func (l *EndpointList) Run() {
	l.notifiedAt = time.Now().Add(notificationTime)
	if !l.polls() {
		l.startWatch()
	}
	for call := range l.mailbox {
		runRecovered(l.log, l.counters, call)
	}
}

// polls reports whether discovery is polled at the balancer's request, rather than watched continuously.
func (l *EndpointList) polls() bool { return l.router.settings.Balancer.PollsList }

// SetAddress changes the address of discovery. The watch of the old address stays in effect until the new address has
// sent something, so that no event of the old address is lost when the new discovery is slow to start or the address is
// wrong.
func (l *EndpointList) SetAddress(addr string) { l.mailbox.post(func() { l.changeAddress(addr) }) }

func (l *EndpointList) changeAddress(addr string) {
	if addr == l.addr {
		return
	}
	l.log.Info("discovery address changed",
		zap.String("from", l.addr), zap.String("to", addr), zap.Int64("index", l.index))
	l.addr, l.lastError = addr, ""
	l.index = 0 // the two addresses may number their versions differently
	if l.previous == nil {
		l.previous = l.oldestWatch()
	}
	for _, watch := range append(l.late, l.current) {
		if watch != nil && watch != l.previous {
			watch.cancel()
		}
	}
	l.current, l.late = nil, nil
	l.notifiedAt = time.Now().Add(notificationTimeAfterReload)
	l.startWatch()
}

// oldestWatch returns the watch that has been answered or, if there is none, has been open for the longest time, or nil.
func (l *EndpointList) oldestWatch() *endpointWatch {
	if len(l.late) > 0 && (l.current == nil || !l.current.answered) {
		return l.late[0]
	}
	return l.current
}

// startWatch opens a watch, unless one is open that is not late, or other proxies have the duty to watch.
func (l *EndpointList) startWatch() {
	conditions := lifecycle.WatchConditions{Open: l.current != nil, Delegated: l.delegated}
	if !conditions.MayOpen().Permitted() {
		return
	}
	watch := &endpointWatch{
		list: l, addr: l.addr, fromIndex: l.index, requestedAt: time.Now(), answerTimeout: l.randomAnswerTimeout(),
	}
	watch.ctx, watch.cancel = context.WithCancel(context.Background())
	l.current = watch
	go func() {
		defer watch.cancel()
		var err error
		runRecovered(l.log, l.counters, func() { err = watch.run() })
		l.mailbox.post(func() { l.watchEnded(watch, err) })
	}()
}

// randomAnswerTimeout returns a random time after which an unanswered watch is late. The randomness spreads the requests
// of proxies whose watches may all have fallen silent at once.
func (l *EndpointList) randomAnswerTimeout() time.Duration {
	if l.polls() {
		return pollAnswerTimeout + time.Duration(l.random.Int64N(int64(pollAnswerTimeout)/4))
	}
	return pushAnswerTimeout*3/4 + time.Duration(l.random.Int64N(int64(pushAnswerTimeout)/2))
}

// watchEnded handles the end of a watch. If discovery is watched continuously, another watch is opened after a backoff;
// if it is polled, the balancer decides when. After a watch that fell silent, another is opened at once in both cases.
func (l *EndpointList) watchEnded(watch *endpointWatch, err error) {
	if watch == l.previous {
		l.previous = nil
	}
	if i := slices.Index(l.late, watch); i >= 0 {
		l.late = slices.Delete(l.late, i, i+1)
	}
	if watch != l.current {
		return
	}
	l.current = nil
	l.reportWatching(false)
	if errors.Is(err, wire.ErrProtocol) {
		l.index = 0 // requests the complete list, since the events of this watch can't be trusted
		l.counters.BadPeer.Add(1)
	}
	if l.isNewError(errorText(err)) {
		l.log.Warn("endpoint watch ended", zap.Error(err), zap.Int64("index", l.index))
	}
	if watch.active {
		l.notifiedAt = time.Now().Add(notificationTime)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.notifiedAt = time.Now().Add(notificationTime - watchSilenceTimeout)
		l.startWatch() // one more request does not overload a silent discovery, unlike one that rejects requests
		return
	}
	if l.closeLateWatches(true) {
		l.startWatch()
		return
	}
	if l.polls() {
		l.router.mailbox.post(l.router.pollFailed)
		return
	}
	time.AfterFunc(l.nextBackoff(), func() { l.mailbox.post(l.startWatch) })
}

// isNewError reports whether an error differs from the last one, and records it.
func (l *EndpointList) isNewError(text string) bool {
	isNew := text != l.lastError
	l.lastError = text
	return isNew
}

// nextBackoff returns the backoff before the next watch is opened. It is random and grows with each failure, so that
// proxies whose watches all end at once, or that all start at once, do not overload a discovery that rejects them.
func (l *EndpointList) nextBackoff() time.Duration {
	mean := min(minWatchBackoff<<min(l.failures, maxBackoffDoublings), maxWatchBackoff)
	l.failures++
	return mean/2 + time.Duration(l.random.Int64N(int64(mean)))
}

// errorText returns the text of an error without addresses and ports, which differ each time.
func errorText(err error) string {
	var op *net.OpError
	if errors.As(err, &op) {
		return op.Op + ": " + op.Err.Error()
	}
	if err == nil {
		return ""
	}
	return err.Error()
}

// handleEvent passes a list or change that a watch has received to the router and to the other proxies.
func (l *EndpointList) handleEvent(watch *endpointWatch, event *wire.EndpointList) {
	switch {
	case l.makeCurrent(watch):
		l.index = event.Index
	case watch == l.previous:
	default:
		return // the watch was canceled
	}
	l.counters.Lists.Add(1)
	l.recordIndex(event.Index)
	endpoints := event.Endpoints
	if l.peerEndpoints != nil {
		if watch == l.current {
			l.peerEndpoints.notify(event.Index, event.Complete, endpoints)
		}
		endpoints = l.peerEndpoints.merge(event.Index, event.Complete, endpoints)
	}
	update := endpointUpdate{complete: event.Complete, endpoints: endpoints}
	if !l.receivedEvent {
		l.receivedEvent, update.source = true, listFirstMessage
	}
	l.updateRouter(update)
}

// recordIndex records an index that discovery or another proxy has reported, if it is the latest.
func (l *EndpointList) recordIndex(index int64) {
	if index > l.latestIndex.Load() {
		l.latestIndex.Store(index)
	}
}

// setWatching starts or ends this proxy's duty to watch discovery. When the duty ends, the endpoints that this proxy's
// discovery has reported are cleared, because from then on they are no more recent than the reports of other proxies.
func (l *EndpointList) setWatching(on bool) {
	l.delegated = !on
	if on {
		l.startWatch()
		return
	}
	for _, watch := range append(l.late, l.current, l.previous) {
		if watch != nil {
			watch.cancel()
		}
	}
	l.current, l.late, l.previous = nil, nil, nil
	l.reportWatching(false)
	if l.peerEndpoints != nil {
		clear(l.peerEndpoints.local)
		l.peerEndpoints.complete = false
	}
}

// reportWatching reports to the duties whether the watch is alive.
func (l *EndpointList) reportWatching(alive bool) {
	if d := l.duties; d != nil {
		d.mailbox.tryPost(func() { d.execute(d.assignments.SetWatchLive(d.now(), alive)) })
	}
}
