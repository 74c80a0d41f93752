package proxy

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"woodproxy/internal/wire"

	"go.uber.org/zap"
)

// bare is what an exchange takes up without its values, its share of a connection's buffers included.
const bare = 32 << 10

// lastLook is how long the last look takes that finds nobody who waits to be let in, once the door closes.
const lastLook = time.Millisecond

// listener is where clients come; tests have one that holds them between two steps.
type listener interface {
	net.Listener
	SetDeadline(time.Time) error
}

// slowStart is how long a newcomer may take before it counts as one that asks nothing.
const slowStart = 100 * time.Millisecond

// slowWriting is how long a client may stop half way through a command before those go that ask all the time.
const slowWriting = time.Second

// Door lets clients in and knows their connections.
type Door struct {
	ln       listener
	router   *Router
	ready    chan struct{} // closed when clients may be told that they are served
	most     int           // connections at once, under mu
	theirs   int           // how many of them clients may be left that have been served, under mu
	paused   bool          // another process lets clients in
	places   atomic.Int64  // exchanges that may be held at once, without their values
	memoryMB int           // as far as it has been shared out
	keep     atomic.Int64  // bytes of values that long writes leave to others
	comeBack int           // what is told to who finds no place, in milliseconds; 0: nothing
	count    *Counters
	log      *zap.Logger
	ran      chan struct{} // closed when nobody is let in any more, and all who were are among the clients
	out      atomic.Bool   // of service: clients are sent away
	mu       sync.Mutex
	drain    *time.Timer          // its next step, nil: none is to come
	step     int                  // of the drain that is on, in steps
	parting  parting              // what a newcomer is told of its end
	closing  bool                 // for good
	shut     bool                 // nobody is let in
	alone    bool                 // no other process has the listener; set before that
	clients  map[*client]struct{} // emptied as connections end
	fewer    *sync.Cond           // one has ended
}

// NewDoor lets clients in on ln once it is told how many, and holds no more exchanges than the memory has room for.
func NewDoor(ln listener, router *Router, memoryMB int, count *Counters, log *zap.Logger) *Door {
	d := &Door{
		ln: ln, router: router, ready: make(chan struct{}), ran: make(chan struct{}), count: count, log: log,
		clients: map[*client]struct{}{},
	}
	d.Remember(memoryMB)
	d.fewer = sync.NewCond(&d.mu)
	if t := &router.book.Terms; t.RetryAfter {
		d.comeBack = int(t.MaxRetryAfter / 10)
	}
	return d
}

// Remember sets how much memory there is: an eighth of it is for exchanges, a quarter for their values, as long as
// they are, and an eighth for values that pass through. To count each at its largest would leave few places in little
// memory.
func (d *Door) Remember(memoryMB int) {
	d.places.Store(min(int64(memoryMB)<<20/8/bare, mostHeld))
	d.router.memory.grow((memoryMB - d.memoryMB) << 20 / 4)
	d.router.flows.grow((memoryMB - d.memoryMB) << 20 / 8)
	d.memoryMB = memoryMB
	d.keep.Store(int64(memoryMB) << 20 / 8)
}

// longRoom tells whether a long value may be written: half of what there is for values stays for the others, or a few
// such writes would have everybody else shed.
func (d *Door) longRoom(n int) bool { return d.router.memory.left.Load()-int64(n) >= d.keep.Load() }

// Open tells clients that they are served.
func (d *Door) Open() { close(d.ready) }

// Run lets clients in until the door has closed.
func (d *Door) Run() {
	defer close(d.ran)
	failed := "" // so that a spell of the same trouble is one line
	for d.makeRoom() {
		conn, err := d.ln.Accept()
		switch {
		case err == nil:
			d.letIn(conn)
			failed = ""
		case errors.Is(err, os.ErrDeadlineExceeded): // paused, or about to close
			time.Sleep(lookAgain / 2)
		case errors.Is(err, net.ErrClosed):
			return
		default: // for want of descriptors, as a rule: who waits is let in once there are some
			if text := errText(err); text != failed {
				d.log.Warn("accept", zap.Error(err))
				failed = text
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	for d.hasPlace() { // who waited when the time was up is let in, or would be cut off with the listener
		d.ln.SetDeadline(time.Now().Add(lastLook))
		conn, err := d.ln.Accept()
		if err != nil {
			break
		}
		d.letIn(conn)
	}
	d.ln.Close()
}

// hasPlace tells whether one more can be let in by who alone has the listener.
func (d *Door) hasPlace() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.alone && len(d.clients) < d.most
}

func (d *Door) letIn(conn net.Conn) {
	c := &client{
		door: d, conn: conn, in: bufio.NewReaderSize(conn, 4<<10), nudge: make(chan struct{}, 1),
		born: time.Now(),
	}
	c.used = c.born
	d.count.Clients.Add(1)
	d.count.ClientsOpen.Add(1)
	d.mu.Lock()
	d.clients[c] = struct{}{}
	c.quits = d.parting
	d.mu.Unlock()
	go c.run()
}

// makeRoom has a client go once nine tenths of the places are taken, or as many are kept that were served, and lets nobody in while all are, or while the
// door is paused. It returns false when the door has closed.
func (d *Door) makeRoom() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for !d.shut {
		if !d.paused {
			if len(d.clients) >= min(d.most*9/10, d.theirs) {
				if c, how := d.spare(time.Now()); c != nil {
					c.part(how)
				}
			}
			if len(d.clients) < d.most {
				break
			}
		}
		d.fewer.Wait() // for one that goes; somebody does, since each command and answer has its time
	}
	return !d.shut
}

// Pause leaves who comes to another process that has the listener too, or no longer.
func (d *Door) Pause(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.paused = on; on && !d.shut {
		d.ln.SetDeadline(longAgo)
	} else if !d.shut {
		d.ln.SetDeadline(time.Time{})
	}
	d.fewer.Broadcast()
}

// Allow sets how many connections there may be at once, and how many of them to clients that were served. Where more are
// open, those that can be done without are closed.
func (d *Door) Allow(most, theirs int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.most, d.theirs = most, theirs
	for range d.clients {
		c, how := d.spare(time.Now())
		if c == nil {
			break
		}
		c.part(how)
	}
	d.fewer.Broadcast()
}

// spare chooses who can be done without, and how it goes, if enough are not on their way out already. First comes who has
// asked nothing yet, of them the first that came, once it has had time to or a crowd of its kind waits with it; then who has
// been idle longest, which costs a client no more than a new connection; then who stopped half way through a command, since
// some take their time. So crowds that say nothing, ask once and stay, or stop half way push out themselves, not those that
// are served.
func (d *Door) spare(now time.Time) (*client, parting) {
	const mute, idle, half = 0, 1, 2
	var first [3]*client
	var since [3]time.Time
	mutes, stay, served := 0, 0, 0
	for c := range d.clients {
		s := c.stands()
		kind := idle
		switch {
		case s.midst:
			kind = half
		case !s.spoke:
			kind = mute
		}
		if !s.goes {
			stay++
			switch {
			case kind == mute:
				mutes++
			case s.spoke:
				served++
			}
		}
		if s.free && (first[kind] == nil || s.since.Before(since[kind])) {
			first[kind], since[kind] = c, s.since
		}
	}
	if c := first[idle]; c != nil && served >= d.theirs && now.Sub(since[idle]) >= slowStart {
		return c, retires
	}
	if stay < d.most*9/10 {
		return nil, stays
	}
	for _, r := range [...]struct {
		kind  int
		least time.Duration
		how   parting
	}{
		{mute, slowWriting, retires},
		{idle, slowStart, retires},
		{half, slowWriting, shuts},
		{half, slowStart, shuts},
		{idle, 0, retires},
		{mute, 0, retires},
		{half, 0, shuts},
	} {
		c := first[r.kind]
		if c != nil && (now.Sub(since[r.kind]) >= r.least || r.kind == mute && mutes >= d.most/4) {
			return c, r.how
		}
	}
	return nil, stays
}

func (d *Door) forget(c *client) {
	d.count.ClientsOpen.Add(-1)
	d.mu.Lock()
	delete(d.clients, c)
	d.mu.Unlock()
	d.fewer.Broadcast()
}

// Leaving is when, after the door has closed, connections are closed behind their next answer, when those on which
// nothing is owed, and when no further command is taken: what was sent and not read by then is left for the client to
// ask elsewhere.
type Leaving struct{ Yield, Retire, Shut time.Duration }

// Close lets nobody in any more, ends the connections, and returns when all have ended or the time is up. Where no other
// process has the listener, who waits there is let in before.
func (d *Door) Close(until time.Time, alone bool, after Leaving) {
	began := time.Now()
	d.mu.Lock()
	d.shut, d.alone = true, alone
	d.ln.SetDeadline(longAgo) // who is accepted just then is served yet
	d.fewer.Broadcast()
	d.mu.Unlock()
	for _, step := range [...]struct {
		at  time.Duration
		how parting
	}{{after.Yield, yields}, {after.Retire, retires}, {after.Shut, shuts}} {
		defer time.AfterFunc(time.Until(began.Add(step.at)), func() { d.partAll(step.how) }).Stop()
	}
	defer time.AfterFunc(time.Until(until), d.fewer.Broadcast).Stop()
	select { // or one that is let in just now would be missed
	case <-d.ran:
	case <-time.After(time.Until(until)):
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.clients) > 0 && time.Now().Before(until) {
		d.fewer.Wait()
	}
}

// aside answers a command that is no exchange.
func (d *Door) aside(cmd *wire.Command) (head, body []byte) {
	switch {
	case cmd.Is("PING"):
		if d.out.Load() {
			return []byte("-ERR out of service\r\n"), nil
		}
		return []byte("+PONG\r\n"), nil
	case cmd.Is("CLIENT"), cmd.Is("SELECT"):
		return []byte("+OK\r\n"), nil
	case cmd.Is("INFO"):
		body = []byte(d.count.String())
		return wire.AppendLength(nil, '$', len(body)), body
	}
	return []byte("-ERR unknown command\r\n"), nil
}
