package proxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"woodproxy/internal/wire"

	"go.uber.org/zap"
)

const (
	maxPending = 64                      // commands of one connection that may be without an answer
	maxSilent  = 2500 * time.Millisecond // how long a client may take to its first command
	maxHalf    = 2500 * time.Millisecond // how long a command may take from its first byte to its last
	maxIdle    = 20 * time.Second        // how long a client may ask nothing more
	maxUnread  = maxStill                // how long a client may take to accept a part of an answer
	lastWords  = 200 * time.Millisecond  // for what a client still sends that has been told why its connection ends
	lastBytes  = 256 << 10
	lookLeft   = 40 * time.Millisecond // between looks whether a client has left, where nothing is read
	leastRate  = 128 << 10             // bytes a second of a long value, below which it is not waited for
)

// client is one client's connection and its goroutine, which alone reads and writes there. Whoever has an
// answer for it marks it ready and wakes the reading by its deadline.
type client struct {
	door   *Door
	conn   net.Conn
	in     *bufio.Reader
	born   time.Time
	heard  bool      // a whole command has come
	skip   int       // bytes of a value for which there was no place, still to come
	half   time.Time // when its first byte came, if a command has come in part
	upload *request  // a write whose value is being read
	got    int       // bytes of that value and of its line end so far
	slow   time.Time // until when it may go on

	mu      sync.Mutex
	pending []*request // in the order of their commands
	quits   parting    // how it is to end, if it is
	seen    parting    // what its goroutine knows of that
	spoke   bool       // something was owed before
	asked   bool       // and it was an exchange
	spent   bool       // an exchange was answered since it was last looked whether to end
	gone    bool       // nothing can be answered any more
	midst   bool       // a command has come in part
	used    time.Time
	nudge   chan struct{} // the first request has become ready
}

// parting is how far a connection is on its way out.
type parting uint8

const (
	stays   parting = iota
	yields          // closed behind its next answer: no request can cross that
	retires         // closed once nothing is owed
	shuts           // takes no further command either
)

var (
	errQuit   = errors.New("closed between commands")
	errHalf   = errors.New("a command that did not come whole in time")
	errSilent = errors.New("no command in time")
	errLeft   = errors.New("the client has closed")
)

// run serves the connection until its end.
func (c *client) run() {
	d := c.door
	var err error
	guarded(d.log, d.count, func() {
		if err = c.serve(); errors.Is(err, wire.ErrBytes) || errors.Is(err, errHalf) {
			d.count.BadClient.Add(1)
			d.log.Warn("client's connection ended", zap.Error(err), zap.Stringer("from", c.conn.RemoteAddr()))
			c.dismiss(err)
		} else if errors.Is(err, errQuit) && c.spoke || errors.Is(err, errSilent) { // a request may come just now: it goes unread, and is asked again elsewhere
			c.linger()
		}
	})
	c.conn.Close()
	c.mu.Lock()
	owed := c.pending
	c.pending, c.gone = nil, true
	c.mu.Unlock()
	for _, t := range owed {
		t.over.Store(true)
		t.giveBack(d)
		d.router.box.post(func() { d.router.left(t) })
	}
	if c.upload != nil {
		c.upload.giveBack(d)
	}
	d.forget(c)
}

func (c *client) serve() error {
	for {
		if err := c.flush(); err != nil {
			return err
		}
		if err := c.read(); err != nil {
			return err
		}
		if c.seen == shuts { // no more is read; what was read is answered
			if !c.owes() {
				return errQuit
			}
			if err := c.await(); err != nil {
				return err
			}
			continue
		}
		if c.crowded() { // no more is read until an answer has gone out, or the buffer would run over
			if err := c.await(); err != nil {
				return err
			}
			continue
		}
		if err := c.fill(); errors.Is(err, os.ErrDeadlineExceeded) {
			err = c.late()
			if err != nil {
				return err
			}
		} else if err != nil {
			return err
		}
	}
}

// until tells how long more bytes are waited for, and what it means when none have come by then; a zero time is for
// ever, as long as answers are owed.
func (c *client) until(owes bool) (time.Time, error) {
	switch {
	case !c.half.IsZero():
		return c.half.Add(maxHalf), errHalf
	case owes:
		return time.Time{}, nil
	case !c.heard:
		return c.born.Add(maxSilent), errSilent
	}
	return c.used.Add(maxIdle), errQuit
}

// late tells why the connection is to end, if its time is up; else it was woken for another reason.
func (c *client) late() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at, err := c.until(len(c.pending) > 0); err != nil && !time.Now().Before(at) {
		return err
	}
	return nil
}

// dismiss tells a client why its connection ends, after the answers that it is owed; what it still sends is passed over
// for a moment, or the answers would be lost to a reset.
func (c *client) dismiss(why error) {
	if c.upload != nil {
		c.upload.giveBack(c.door)
		c.upload = nil
	}
	t := &request{client: c}
	c.queue(t)
	t.say([]byte("-ERR "+why.Error()+"\r\n"), nil)
	for c.owes() {
		if err := c.flush(); err != nil && err != errQuit {
			return
		}
		if c.owes() && c.await() != nil {
			return
		}
	}
	c.linger()
}

// linger ends the sending and passes over what still comes for a moment: to close on unread bytes resets the
// connection, and what was written last may be lost with that.
func (c *client) linger() {
	c.mu.Lock()
	c.quits = shuts // nobody wakes it from now on
	c.mu.Unlock()
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.conn.SetReadDeadline(time.Now().Add(lastWords))
		io.CopyN(io.Discard, c.conn, lastBytes)
	}
}

// await waits for the next answer where no bytes are read, which would tell that the client has left: what it asked
// and is not begun is not to begin then.
func (c *client) await() error { return c.stay(c.nudge) }

// stay waits for one of the events, or until the client has left.
func (c *client) stay(events <-chan struct{}) error {
	select {
	case <-events:
		return nil
	default:
	}
	look := time.NewTicker(lookLeft)
	defer look.Stop()
	for {
		select {
		case <-events:
			return nil
		case <-look.C:
			if hungUp(c.conn) {
				return errLeft
			}
		}
	}
}

func (c *client) owes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) > 0
}

// fill waits for more bytes than there are, or to be woken.
func (c *client) fill() error {
	c.mu.Lock()
	if c.quits == c.seen && (len(c.pending) == 0 || !c.pending[0].ready) { // or a wake would be undone
		at, _ := c.until(len(c.pending) > 0)
		c.conn.SetReadDeadline(at)
	}
	c.mu.Unlock()
	if c.upload != nil {
		n, err := c.in.Read(c.upload.value[c.got:cap(c.upload.value)])
		c.got += n
		if now := time.Now(); n > 0 && cap(c.upload.value) > wire.MaxValue+2 && now.Before(c.slow) {
			c.half = now // a long one may take its time, as long as it goes on
		}
		return err
	}
	_, err := c.in.Peek(c.in.Buffered() + 1)
	if errors.Is(err, bufio.ErrBufferFull) {
		err = wire.ErrBytes
	}
	return err
}

// flush writes the answers whose turn it is, those up to a value that comes piece by piece gathered into one write.
func (c *client) flush() error {
	for {
		c.mu.Lock()
		ready := 0
		var f *flow
		for ready < len(c.pending) && c.pending[ready].ready && f == nil {
			f = c.pending[ready].flow
			ready++
		}
		done := slices.Clone(c.pending[:ready])
		c.mu.Unlock()
		if ready == 0 {
			break
		}
		if err := c.write(done, f); err != nil {
			return err // what is owed yet is given back with the connection
		}
		c.mu.Lock()
		c.pending = slices.Delete(c.pending, 0, ready) // and with them what they hold
		c.spent = c.spent || slices.ContainsFunc(done, func(t *request) bool { return t.exchange })
		c.mu.Unlock()
		for _, t := range done {
			t.giveBack(c.door)
		}
	}
	c.mu.Lock()
	// behind an exchange, that is: PING asks how it stands
	quit := (c.quits >= retires || c.quits == yields && c.spent) && len(c.pending) == 0 && c.upload == nil && c.in.Buffered() == 0
	c.midst = c.upload != nil || c.skip > 0 || c.in.Buffered() > 0
	c.used, c.seen, c.spent = time.Now(), c.quits, false
	c.mu.Unlock()
	if quit && !unread(c.conn) { // else a request has come meanwhile, and is answered first
		return errQuit
	}
	return nil
}

func (c *client) write(done []*request, f *flow) error {
	out := make(net.Buffers, 0, 3*len(done))
	for _, t := range done {
		if out = append(out, t.head); t.body != nil {
			out = append(out, t.body, crlf)
		}
	}
	c.conn.SetWriteDeadline(time.Now().Add(maxUnread))
	if _, err := out.WriteTo(c.conn); err != nil || f == nil {
		return err
	}
	return c.pass(f)
}

// partly notes that a command has come in part.
func (c *client) partly() {
	if c.half.IsZero() {
		c.half = time.Now()
	}
}

// read takes the commands that have come whole, as many as there may be.
func (c *client) read() error {
	for !c.crowded() {
		if c.skip > 0 {
			n, _ := c.in.Discard(min(c.skip, c.in.Buffered()))
			if c.skip -= n; c.skip > 0 {
				c.partly()
				return nil
			}
			c.half = time.Time{}
		}
		if c.upload != nil {
			t := c.upload
			if c.got < cap(t.value) {
				c.partly()
				return nil
			}
			n := c.got - 2
			if t.value[:c.got][n] != '\r' || t.value[:c.got][n+1] != '\n' {
				return wire.ErrBytes
			}
			t.value, c.upload, c.half = t.value[:n:n], nil, time.Time{}
			c.ask(t)
			continue
		}
		b, _ := c.in.Peek(c.in.Buffered())
		cmd, n, err := wire.ParseCommand(b)
		if errors.Is(err, wire.ErrShort) {
			if len(b) > 0 {
				c.partly()
			}
			return nil
		}
		if err != nil {
			return err
		}
		t := c.begin(&cmd)
		c.in.Discard(n)
		c.heard = true
		if cmd.Value < 0 {
			c.half = time.Time{}
		}
		switch {
		case cmd.Value >= 0 && t == nil:
			c.skip = cmd.Value + 2
		case cmd.Value > wire.MaxValue && !c.door.longRoom(cmd.Value):
			c.skip = cmd.Value + 2
			t.giveBack(c.door)
			c.refuse()
		case cmd.Value >= 0:
			t.value, c.upload, c.got = make([]byte, 0, cmd.Value+2), t, 0
			t.bytes = cmd.Value
			c.door.router.memory.force(t.bytes)
			c.slow = time.Now().Add(maxHalf + time.Duration(cmd.Value)*time.Second/leastRate)
		case t != nil:
			c.ask(t)
		}
	}
	return nil
}

// crowded tells whether as many commands as a connection may have are without an answer.
func (c *client) crowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending) >= maxPending
}

// begin makes a request of a command and answers at once what is no exchange, for which it returns nil.
func (c *client) begin(cmd *wire.Command) *request {
	if !cmd.Is("KV.GET") && !cmd.Is("KV.SET") {
		t := &request{client: c}
		c.queue(t)
		if cmd.Is("PING") && c.stay(c.door.ready) != nil { // until clients are served
			return nil // has left, as the next reading tells
		}
		t.say(c.door.aside(cmd))
		return nil
	}
	d := c.door
	d.count.Exchanges.Add(1)
	if d.count.Held.Add(1) > d.places.Load() || d.router.memory.left.Load() <= 0 {
		d.count.Held.Add(-1)
		c.refuse()
		return nil
	}
	all := make([]byte, 0, len(cmd.Name)+len(cmd.Key)+len(cmd.ID)+len(cmd.Facts))
	keep := func(b []byte) []byte {
		n := len(all)
		all = append(all, b...)
		return all[n:len(all):len(all)]
	}
	return &request{client: c, exchange: true, holds: true, name: keep(cmd.Name), key: keep(cmd.Key), id: keep(cmd.ID), facts: keep(cmd.Facts)}
}

// refuse sheds an exchange for which there is no room.
func (c *client) refuse() {
	c.door.count.Crowded.Add(1)
	t := &request{client: c, exchange: true}
	c.queue(t)
	t.answer(c.door.count, shed, nil, c.door.comeBack)
}

func (c *client) queue(t *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending, c.spoke, c.asked = append(c.pending, t), true, c.asked || t.exchange
}

// ask puts an exchange that has come whole to the module.
func (c *client) ask(t *request) {
	d := c.door
	c.queue(t)
	facts, err := wire.ParseFacts(t.facts)
	if err == nil {
		err = wire.Plain(t.id, t.facts) // they become HTTP headers, which a line end in them would add to
	}
	if len(t.id) == 0 || len(t.key) == 0 {
		err = wire.ErrBytes // servers turn such a one away, each of them
	}
	if err != nil {
		d.log.Warn("facts not understood", zap.Error(err), zap.ByteString("facts", t.facts))
		t.say([]byte("-ERR bad facts\r\n"), nil)
		return
	}
	t.route, t.tenant, t.wait, t.repeat = string(facts.Route), string(facts.Tenant), facts.Wait, facts.Repeat
	t.came = d.router.clock.Now()
	if d.router.absent.knows(t) {
		t.answer(d.router.count, absent, nil, 0)
		return
	}
	d.router.box.post(func() { d.router.arrive(t) })
}

// part has the connection end, sooner if it was to end already.
func (c *client) part(how parting) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if how <= c.quits {
		return
	}
	c.quits = how
	c.conn.SetReadDeadline(longAgo)
	c.wake()
}

// wake has the goroutine look again where it waits for an answer to become ready.
func (c *client) wake() {
	select {
	case c.nudge <- struct{}{}:
	default:
	}
}

// standing is what the door looks at when it needs a place.
type standing struct {
	since        time.Time // of the last answer or byte
	spoke, midst bool
	free, goes   bool // can be done without; is about to go
}

func (c *client) stands() standing {
	c.mu.Lock()
	defer c.mu.Unlock()
	// one that was to end between commands and is half way through one may still be cut off
	return standing{
		c.used, c.spoke, c.midst, len(c.pending) == 0 && (c.quits < retires || c.midst && c.quits < shuts),
		c.quits >= retires && !c.midst || c.quits == shuts,
	}
}

// drains tells since when nothing has been owed, whether the connection can be done without, and whether it has ever
// carried an exchange.
func (c *client) drains() (since time.Time, free, asked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used, len(c.pending) == 0, c.asked
}
