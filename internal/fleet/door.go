package fleet

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"woodproxy/internal/wire"
)

// bare is what an exchange takes up without its values, its share of a connection's buffers included.
const bare = 32 << 10

// lastIn is for how long who waits to be let in is let in yet, once the door closes.
const lastIn = 20 * time.Millisecond

// slowStart is how long a newcomer may take before it counts as one that asks nothing.
const slowStart = 100 * time.Millisecond

// Door lets clients in and knows their connections.
type Door struct {
	ln       *net.TCPListener
	mind     *Mind
	ready    chan struct{} // closed when clients may be told that they are served
	most     int           // connections at once, under mu
	paused   bool          // another process lets clients in
	places   atomic.Int64  // exchanges that may be held at once, without their values
	memoryMB int           // as far as it has been shared out
	comeBack int           // what is told to who finds no place, in milliseconds; 0: nothing
	count    *Counters
	log      *zap.Logger
	out      atomic.Bool // of service: clients are sent away
	mu       sync.Mutex
	drain    *time.Timer          // its next step, nil: none is to come
	step     int                  // of the drain that is on, in steps
	parting  parting              // what a newcomer is told of its end
	closing  bool                 // for good
	shut     bool                 // nobody is let in
	clients  map[*client]struct{} // emptied as connections end
	fewer    *sync.Cond           // one has ended
}

// NewDoor lets clients in on ln, at most so many at once, and holds no more exchanges than the memory has room for.
func NewDoor(ln *net.TCPListener, mind *Mind, most, memoryMB int, count *Counters, log *zap.Logger) *Door {
	d := &Door{ln: ln, mind: mind, most: most, ready: make(chan struct{}), count: count, log: log,
		clients: map[*client]struct{}{}}
	d.Remember(memoryMB)
	d.fewer = sync.NewCond(&d.mu)
	if t := &mind.book.Terms; t.RetryAfter {
		d.comeBack = int(t.MaxRetryAfter / 10)
	}
	return d
}

// Remember sets how much memory there is: an eighth of it is for exchanges, a quarter for their values, as long as
// they are, and an eighth for values that pass through. To count each at its largest would leave few places in little
// memory.
func (d *Door) Remember(memoryMB int) {
	d.places.Store(min(int64(memoryMB)<<20/8/bare, mostHeld))
	d.mind.memory.grow((memoryMB - d.memoryMB) << 20 / 4)
	d.mind.flows.grow((memoryMB - d.memoryMB) << 20 / 8)
	d.memoryMB = memoryMB
}

// Open tells clients that they are served.
func (d *Door) Open() { close(d.ready) }

// Run lets clients in until the listener's deadline has passed.
func (d *Door) Run() {
	for {
		if !d.makeRoom() {
			return
		}
		conn, err := d.ln.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded): // paused, or about to close
			time.Sleep(lastIn / 4)
			continue
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			d.log.Warn("accept", zap.Error(err))
			time.Sleep(5 * time.Millisecond)
			continue
		}
		c := &client{door: d, conn: conn, in: bufio.NewReaderSize(conn, 4<<10), nudge: make(chan struct{}, 1),
			born: time.Now()}
		c.used = c.born
		d.count.Clients.Add(1)
		d.count.ClientsOpen.Add(1)
		d.mu.Lock()
		d.clients[c] = struct{}{}
		c.quits = d.parting
		d.mu.Unlock()
		go c.run()
	}
}

// makeRoom retires a client once nine tenths of the places are taken, and lets nobody in while all are, or while the
// door is paused. It returns false when the door has closed.
func (d *Door) makeRoom() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for !d.shut && (d.paused || len(d.clients) >= d.most*9/10) {
		if !d.paused {
			if c := d.spare(time.Now()); c != nil {
				c.part(retires)
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

// Allow sets how many connections there may be at once. Where more are open, those that can be done without are closed.
func (d *Door) Allow(most int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.most = most
	for range d.clients {
		c := d.spare(time.Now())
		if c == nil {
			break
		}
		c.part(retires)
	}
	d.fewer.Broadcast()
}

// spare chooses who can be done without, if enough are not on their way out already: of those that have asked nothing
// yet the first that came, once it has had time to or a crowd of its kind waits with it; else the one that has been idle
// longest. So a crowd that says nothing pushes out itself, not those that are served.
func (d *Door) spare(now time.Time) *client {
	var mute, idle *client
	var muteAt, idleAt time.Time
	mutes, stay := 0, 0
	for c := range d.clients {
		at, spoke, free, goes := c.idleSince()
		if !goes {
			stay++
		}
		if !spoke && !goes {
			mutes++
		}
		switch {
		case !free:
		case !spoke && (mute == nil || at.Before(muteAt)):
			mute, muteAt = c, at
		case spoke && (idle == nil || at.Before(idleAt)):
			idle, idleAt = c, at
		}
	}
	switch {
	case stay < d.most*9/10:
		return nil
	case mute != nil && (idle == nil || now.Sub(muteAt) >= slowStart || mutes >= d.most/8):
		return mute
	}
	return idle
}

func (d *Door) forget(c *client) {
	d.count.ClientsOpen.Add(-1)
	d.mu.Lock()
	delete(d.clients, c)
	d.mu.Unlock()
	d.fewer.Broadcast()
}

// Yield closes each connection behind its next answer from now on.
func (d *Door) Yield() { d.partAll(yields) }

// Close lets nobody in any more, ends each connection once nothing is owed on it, and returns when all have ended or the
// time is up. Where no other process has the listener, who waits there is let in before. After spans of time each
// connection on which nothing is owed is closed, and then no further command is taken: what was sent and not read by
// then is left for the client to ask elsewhere.
func (d *Door) Close(until time.Time, alone bool, retire, shut time.Duration) {
	began := time.Now()
	if alone {
		d.ln.SetDeadline(began.Add(lastIn))
		time.Sleep(lastIn + 10*time.Millisecond)
	}
	d.mu.Lock()
	d.shut = true
	d.ln.Close()
	d.fewer.Broadcast()
	d.mu.Unlock()
	d.Yield()
	defer time.AfterFunc(time.Until(began.Add(retire)), func() { d.partAll(retires) }).Stop()
	defer time.AfterFunc(time.Until(began.Add(shut)), func() { d.partAll(shuts) }).Stop()
	defer time.AfterFunc(time.Until(until), d.fewer.Broadcast).Stop()
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
		<-d.ready
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
