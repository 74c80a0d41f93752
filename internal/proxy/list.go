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
	hushOfWatch = 3 * time.Second         // a watch that is out says something every two seconds
	hushOfCall  = 1200 * time.Millisecond // about; the agent is on this machine and answers a call at once, or is not there
	hushOfAsked = 2 * time.Second         // at least; where lists are asked for discovery is elsewhere, and answers late when many ask
	dialOfWatch = time.Second
	pauseWatch  = 200 * time.Millisecond // before a watch is begun anew, about, and twice as long each time it fails
	longestWait = 800 * time.Millisecond
)

// List is the actor of the list: it has discovery watched and tells the module's actor what changes.
type List struct {
	box    mailbox
	addr   string
	router *Router
	index  int64         // of what the module has been told
	now    *watch        // the watch that is out, nil: none
	before *watch        // that of the address before, until the one in its place has spoken
	first  chan struct{} // closed when discovery has spoken
	told   bool          // it has
	failed int           // watches in a row that said nothing
	chance *rand.Rand
	quiet  string // why the last watch ended, so that a spell of the same trouble is one line
	count  *Counters
	log    *zap.Logger
	shared *shared      // with peers, nil: there are none
	duties *Duties      // nil: each watches for itself
	off    bool         // others watch for this one
	latest atomic.Int64 // the index that discovery last told of, or a peer if that was later
}

// watch is one connection to discovery and its goroutine.
type watch struct {
	list  *List
	addr  string
	since int64
	hush  time.Duration // until its first word; not the same at all proxies, whose calls may all have fallen silent at once
	ctx   context.Context
	end   context.CancelFunc
}

// NewList hands the list that this proxy last had, which may be nil, to the module's actor.
func NewList(addr string, known *fastjson.Value, router *Router, seed uint64, count *Counters, log *zap.Logger) (*List, error) {
	l := &List{
		box: make(mailbox, 64), addr: addr, router: router, first: make(chan struct{}),
		chance: rand.New(rand.NewPCG(seed, 1)), count: count, log: log,
	}
	var list []wire.Target
	if known != nil && known.Type() != fastjson.TypeNull {
		var err error
		if l.index, _, list, err = wire.ParseTargets(known); err != nil {
			return nil, err
		}
	}
	router.box.post(func() {
		router.list = l
		router.nodes(true, true, list)
	})
	return l, nil
}

// First is closed when discovery has spoken.
func (l *List) First() <-chan struct{} { return l.first }

// Run carries out calls for as long as the program lives.
func (l *List) Run() {
	if !l.router.book.Terms.Ask { // else the module says when
		l.follow()
	}
	for call := range l.box {
		guarded(l.log, l.count, call)
	}
}

// Move has the list watched at another address. The watch at the old one counts until the new one has spoken, so
// that a discovery that is slow to come up, or a mistaken address, loses nothing that is still told.
func (l *List) Move(addr string) { l.box.post(func() { l.move(addr) }) }

func (l *List) move(addr string) {
	if addr == l.addr {
		return
	}
	l.log.Info("discovery moves", zap.String("from", l.addr), zap.String("to", addr), zap.Int64("index", l.index))
	l.addr, l.quiet = addr, ""
	l.index = 0 // whether both count their versions alike is not known
	if l.before == nil {
		l.before = l.now
	} else if l.now != nil { // which never spoke
		l.now.end()
	}
	l.now = nil
	l.follow()
}

// follow begins a watch, unless one is out.
func (l *List) follow() {
	if l.now != nil || l.off {
		return
	}
	w := &watch{list: l, addr: l.addr, since: l.index, hush: hushOfCall*3/4 + time.Duration(l.chance.Int64N(int64(hushOfCall)/2))}
	if l.router.book.Terms.Ask {
		w.hush = hushOfAsked + time.Duration(l.chance.Int64N(int64(hushOfAsked)/4))
	}
	w.ctx, w.end = context.WithCancel(context.Background())
	l.now = w
	go func() {
		defer w.end()
		var err error
		guarded(l.log, l.count, func() { err = w.run() })
		l.box.post(func() { l.ended(w, err) })
	}()
}

// ended hears that a watch is over. Where the list comes by itself another is begun soon; where it is to be asked
// for, the module says when.
func (l *List) ended(w *watch, err error) {
	if w == l.before {
		l.before = nil
	}
	if w != l.now {
		return
	}
	l.now = nil
	l.watching(false)
	if errors.Is(err, wire.ErrBytes) {
		l.index = 0 // the whole list, since what it said is in doubt
		l.count.BadPeer.Add(1)
	}
	if text := errText(err); text != l.quiet {
		l.log.Warn("watch of the list ended", zap.Error(err), zap.Int64("index", l.index))
		l.quiet = text
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, errDial) {
		l.follow() // who is silent is not kept from answering by one more call, as who turns calls away is
		return
	}
	if l.router.book.Terms.Ask {
		l.router.box.post(l.router.listFailed)
		return
	}
	time.AfterFunc(l.pause(), func() { l.box.post(l.follow) })
}

// errDial marks a connection to discovery that never came up.
var errDial = errors.New("discovery is not met")

// pause is how long until a watch is begun anew: by chance, and longer each time, so that proxies whose watches all end at
// once, or that all start at once, do not keep a discovery that turns them away from answering any.
func (l *List) pause() time.Duration {
	long := min(pauseWatch<<min(l.failed, 8), longestWait)
	l.failed++
	return long/2 + time.Duration(l.chance.Int64N(int64(long)))
}

// errText words an error without addresses and ports, which differ each time.
func errText(err error) string {
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
func (l *List) news(w *watch, index int64, whole bool, list []wire.Target) {
	switch w {
	case l.now:
		l.index = index
	case l.before:
	default:
		return // it was told to end
	}
	l.count.Lists.Add(1)
	l.reached(index)
	if l.shared != nil {
		if w == l.now {
			l.shared.tell(index, whole, list)
		}
		list = l.shared.with(index, whole, list)
	}
	l.router.box.post(func() { l.router.nodes(whole, false, list) })
}

// reached notes an index up to which discovery or a peer has told.
func (l *List) reached(index int64) {
	if index > l.latest.Load() {
		l.latest.Store(index) // the list's actor alone does
	}
}

// Version is the index up to which discovery or peers have told since the start, 0: neither has.
func (l *List) Version() int64 { return l.latest.Load() }

// spoke hears that discovery has said something.
func (l *List) spoke(w *watch) {
	if w != l.now {
		return
	}
	l.quiet, l.failed = "", 0
	l.watching(true)
	if l.before != nil {
		l.before.end()
		l.before = nil
	}
	if !l.told {
		l.told = true
		close(l.first)
	}
}

// run reads until the connection ends.
func (w *watch) run() error {
	l := w.list
	d := net.Dialer{Timeout: dialOfWatch}
	conn, err := d.DialContext(w.ctx, "tcp", w.addr)
	if err != nil {
		return errors.Join(errDial, err)
	}
	defer conn.Close()
	defer context.AfterFunc(w.ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(w.hush))
	if _, err := conn.Write(wire.AppendWatch(nil, w.addr, w.since)); err != nil {
		return err
	}
	in := bufio.NewReaderSize(conn, 4<<10)
	if _, err := in.Peek(1); err != nil {
		return err
	}
	conn.SetDeadline(time.Now().Add(hushOfWatch)) // what has begun to come may come in pieces
	r, err := wire.ReadWatch(in)
	if err != nil {
		return err
	}
	l.count.Watches.Add(1)
	var parse fastjson.Parser
	for {
		line, err := r.Next()
		if err != nil {
			return err
		}
		conn.SetDeadline(time.Now().Add(hushOfWatch))
		if len(line) > 0 {
			v, err := parse.ParseBytes(line)
			if err != nil {
				return errors.Join(wire.ErrBytes, err)
			}
			index, whole, list, err := wire.ParseTargets(v)
			if err != nil {
				return err
			}
			l.box.post(func() { l.news(w, index, whole, list) })
		}
		l.box.post(func() { l.spoke(w) })
	}
}
