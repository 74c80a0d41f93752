package proxy

import (
	"bufio"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync/atomic"
	"time"

	"woodproxy/internal/wire"

	"github.com/valyala/fastjson"
	"go.uber.org/zap"
)

// The list's clock. Silence means that a call is broken, and it is made anew at once. What it missed counts as told six seconds
// after it fell silent, whether or not it came, and four seconds after SIGHUP; so a watch that falls silent and the first call made
// in its place, silent as well, leave time for more. What the agent has counts from when it has it, outage or not: so there is
// always a call out that it can answer as soon as it speaks again, and nobody pauses between silent ones.
const (
	watchSilenceTimeout  = 3 * time.Second         // a watch that is out says something every two seconds
	pushFirstByteTimeout = 1200 * time.Millisecond // about; the agent is on this machine and answers a call at once, or is not there
	pollFirstByteTimeout = 2 * time.Second         // at least; where lists are asked for discovery is elsewhere, and answers late when many ask
	watchDialTimeout     = time.Second
	minWatchBackoff      = 200 * time.Millisecond // before a watch is begun anew, about, and twice as long each time it fails
	maxWatchBackoff      = 800 * time.Millisecond
)

// List is the actor of the list: it has discovery watched and tells the module's actor what changes.
type List struct {
	mailbox       mailbox
	addr          string
	router        *Router
	index         int64          // of what the module has been told
	current       *endpointWatch // the watch that is out, nil: none
	previous      *endpointWatch // that of the address before, until the one in its place has spoken
	firstMessage  chan struct{}  // closed when discovery has spoken
	receivedFirst bool           // it has
	failures      int            // watches in a row that said nothing
	random        *rand.Rand
	lastError     string // why the last watch ended, so that a spell of the same trouble is one line
	counters      *Counters
	log           *zap.Logger
	peerEndpoints *peerEndpoints // with peers, nil: there are none
	duties        *Duties        // nil: each watches for itself
	delegated     bool           // others watch for this one
	latestIndex   atomic.Int64   // the index that discovery last told of, or a peer if that was later
}

// watch is one connection to discovery and its goroutine.
type endpointWatch struct {
	list             *List
	addr             string
	fromIndex        int64
	firstByteTimeout time.Duration // until its first word; not the same at all proxies, whose calls may all have fallen silent at once
	ctx              context.Context
	cancel           context.CancelFunc
}

// NewList hands the list that this proxy last had, which may be nil, to the module's actor.
func NewList(addr string, known *fastjson.Value, router *Router, seed uint64, count *Counters, log *zap.Logger) (*List, error) {
	l := &List{
		mailbox: make(mailbox, 64), addr: addr, router: router, firstMessage: make(chan struct{}),
		random: rand.New(rand.NewPCG(seed, 1)), counters: count, log: log,
	}
	var list []wire.Target
	if known != nil && known.Type() != fastjson.TypeNull {
		var err error
		if l.index, _, list, err = wire.ParseTargets(known); err != nil {
			return nil, err
		}
	}
	router.mailbox.post(func() {
		router.endpoints = l
		router.updateEndpoints(true, true, list)
	})
	return l, nil
}

// First is closed when discovery has spoken.
func (l *List) First() <-chan struct{} { return l.firstMessage }

// Run carries out calls for as long as the program lives.
func (l *List) Run() {
	if !l.router.settings.Terms.Ask { // else the module says when
		l.startWatch()
	}
	for call := range l.mailbox {
		runRecovered(l.log, l.counters, call)
	}
}

// Move has the list watched at another address. The watch at the old one counts until the new one has spoken, so
// that a discovery that is slow to come up, or a mistaken address, loses nothing that is still told.
func (l *List) Move(addr string) { l.mailbox.post(func() { l.moveTo(addr) }) }

func (l *List) moveTo(addr string) {
	if addr == l.addr {
		return
	}
	l.log.Info("discovery moves", zap.String("from", l.addr), zap.String("to", addr), zap.Int64("index", l.index))
	l.addr, l.lastError = addr, ""
	l.index = 0 // whether both count their versions alike is not known
	if l.previous == nil {
		l.previous = l.current
	} else if l.current != nil { // which never spoke
		l.current.cancel()
	}
	l.current = nil
	l.startWatch()
}

// follow begins a watch, unless one is out.
func (l *List) startWatch() {
	if l.current != nil || l.delegated {
		return
	}
	watch := &endpointWatch{list: l, addr: l.addr, fromIndex: l.index, firstByteTimeout: pushFirstByteTimeout*3/4 + time.Duration(l.random.Int64N(int64(pushFirstByteTimeout)/2))}
	if l.router.settings.Terms.Ask {
		watch.firstByteTimeout = pollFirstByteTimeout + time.Duration(l.random.Int64N(int64(pollFirstByteTimeout)/4))
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

// ended hears that a watch is over. Where the list comes by itself another is begun soon; where it is to be asked
// for, the module says when.
func (l *List) watchEnded(watch *endpointWatch, err error) {
	if watch == l.previous {
		l.previous = nil
	}
	if watch != l.current {
		return
	}
	l.current = nil
	l.reportWatching(false)
	if errors.Is(err, wire.ErrBytes) {
		l.index = 0 // the whole list, since what it said is in doubt
		l.counters.BadPeer.Add(1)
	}
	if text := errorText(err); text != l.lastError {
		l.log.Warn("watch of the list ended", zap.Error(err), zap.Int64("index", l.index))
		l.lastError = text
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, errDiscoveryDial) {
		l.startWatch() // who is silent is not kept from answering by one more call, as who turns calls away is
		return
	}
	if l.router.settings.Terms.Ask {
		l.router.mailbox.post(l.router.pollFailed)
		return
	}
	time.AfterFunc(l.nextBackoff(), func() { l.mailbox.post(l.startWatch) })
}

// errDial marks a connection to discovery that never came up.
var errDiscoveryDial = errors.New("discovery is not met")

// pause is how long until a watch is begun anew: by chance, and longer each time, so that proxies whose watches all end at
// once, or that all start at once, do not keep a discovery that turns them away from answering any.
func (l *List) nextBackoff() time.Duration {
	long := min(minWatchBackoff<<min(l.failures, 8), maxWatchBackoff)
	l.failures++
	return long/2 + time.Duration(l.random.Int64N(int64(long)))
}

// errText words an error without addresses and ports, which differ each time.
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

// news passes on what changed.
func (l *List) handleUpdate(watch *endpointWatch, index int64, whole bool, list []wire.Target) {
	switch watch {
	case l.current:
		l.index = index
	case l.previous:
	default:
		return // it was told to end
	}
	l.counters.Lists.Add(1)
	l.recordIndex(index)
	if l.peerEndpoints != nil {
		if watch == l.current {
			l.peerEndpoints.notify(index, whole, list)
		}
		list = l.peerEndpoints.merge(index, whole, list)
	}
	l.router.mailbox.post(func() { l.router.updateEndpoints(whole, false, list) })
}

// reached notes an index up to which discovery or a peer has told.
func (l *List) recordIndex(index int64) {
	if index > l.latestIndex.Load() {
		l.latestIndex.Store(index) // the list's actor alone does
	}
}

// Version is the index up to which discovery or peers have told since the start, 0: neither has.
func (l *List) Version() int64 { return l.latestIndex.Load() }

// spoke hears that discovery has said something.
func (l *List) handleActivity(watch *endpointWatch) {
	if watch != l.current {
		return
	}
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

// run reads until the connection ends.
func (w *endpointWatch) run() error {
	l := w.list
	d := net.Dialer{Timeout: watchDialTimeout}
	conn, err := d.DialContext(w.ctx, "tcp", w.addr)
	if err != nil {
		return errors.Join(errDiscoveryDial, err)
	}
	defer conn.Close()
	defer context.AfterFunc(w.ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(w.firstByteTimeout))
	if _, err := conn.Write(wire.AppendWatch(nil, w.addr, w.fromIndex)); err != nil {
		return err
	}
	in := bufio.NewReaderSize(conn, 4<<10)
	if _, err := in.Peek(1); err != nil {
		return err
	}
	conn.SetDeadline(time.Now().Add(watchSilenceTimeout)) // what has begun to come may come in pieces
	r, err := wire.ReadWatch(in)
	if err != nil {
		return err
	}
	l.counters.Watches.Add(1)
	var parse fastjson.Parser
	for {
		line, err := r.Next()
		if err != nil {
			return err
		}
		conn.SetDeadline(time.Now().Add(watchSilenceTimeout))
		if len(line) > 0 {
			v, err := parse.ParseBytes(line)
			if err != nil {
				return errors.Join(wire.ErrBytes, err)
			}
			index, whole, list, err := wire.ParseTargets(v)
			if err != nil {
				return err
			}
			l.mailbox.post(func() { l.handleUpdate(w, index, whole, list) })
		}
		l.mailbox.post(func() { l.handleActivity(w) })
	}
}
