package fleet

import (
	"bufio"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"woodproxy/internal/wire"
)

const (
	maxTurns  = 64              // commands of one connection that may be without an answer
	maxHalf   = 5 * time.Second // how long a client may be silent within a command
	maxUnread = 2 * time.Second // how long a client may take to accept an answer
)

// client is one client's connection and its goroutine, which alone reads and writes there. Whoever has an
// answer for it marks it ready and wakes the reading by its deadline.
type client struct {
	door *Door
	conn net.Conn
	in   *bufio.Reader
	skip int       // bytes of a value for which there was no place, still to come
	half time.Time // when last read, if a command has come in part
	turn *turn     // a write whose value is being read
	got  int       // bytes of that value and of its line end so far

	mu    sync.Mutex
	turns []*turn // in the order of their commands
	quits bool    // to be closed once nothing is owed
	seen  bool    // its goroutine knows
	used  time.Time
	nudge chan struct{} // the first turn has become ready
}

var (
	errQuit = errors.New("closed between commands")
	errHalf = errors.New("silent within a command")
)

// run serves the connection until its end.
func (c *client) run() {
	d := c.door
	var err error
	guarded(d.log, d.count, func() { err = c.serve() })
	if errors.Is(err, wire.ErrBytes) {
		d.count.BadClient.Add(1)
		d.log.Warn("client's connection ended", zap.Error(err), zap.Stringer("from", c.conn.RemoteAddr()))
	}
	c.conn.Close()
	c.mu.Lock()
	owed := c.turns
	c.turns = nil
	c.mu.Unlock()
	for _, t := range owed {
		t.giveBack(d.count)
		d.mind.box.post(func() { d.mind.left(t) })
	}
	if c.turn != nil {
		c.turn.giveBack(d.count)
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
		if c.crowded() { // no more is read until an answer has gone out, or the buffer would run over
			<-c.nudge
			continue
		}
		began := c.half
		err := c.fill()
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if !began.IsZero() && time.Since(began) >= maxHalf {
			return errHalf
		}
	}
}

// fill waits for more bytes than there are, or to be woken.
func (c *client) fill() error {
	if !c.half.IsZero() {
		c.mu.Lock()
		if c.quits == c.seen && (len(c.turns) == 0 || !c.turns[0].ready) { // or a wake would be undone
			c.conn.SetReadDeadline(c.half.Add(maxHalf))
		}
		c.mu.Unlock()
	}
	if c.turn != nil {
		n, err := c.in.Read(c.turn.value[c.got:cap(c.turn.value)])
		c.got += n
		return err
	}
	_, err := c.in.Peek(c.in.Buffered() + 1)
	if errors.Is(err, bufio.ErrBufferFull) {
		err = wire.ErrBytes
	}
	return err
}

// flush writes the answers whose turn it is, gathered into one write.
func (c *client) flush() error {
	c.mu.Lock()
	c.conn.SetReadDeadline(time.Time{})
	ready := 0
	for ready < len(c.turns) && c.turns[ready].ready {
		ready++
	}
	done := slices.Clone(c.turns[:ready])
	c.turns = slices.Delete(c.turns, 0, ready) // and with them what they hold
	quit := c.quits && len(c.turns) == 0 && c.turn == nil && c.in.Buffered() == 0
	c.used, c.seen = time.Now(), c.quits
	c.mu.Unlock()
	if ready > 0 {
		out := make(net.Buffers, 0, 3*ready)
		for _, t := range done {
			if out = append(out, t.head); t.body != nil {
				out = append(out, t.body, crlf)
			}
		}
		c.conn.SetWriteDeadline(time.Now().Add(maxUnread))
		_, err := out.WriteTo(c.conn)
		for _, t := range done {
			t.giveBack(c.door.count)
		}
		if err != nil {
			return err
		}
	}
	if quit {
		return errQuit
	}
	return nil
}

// read takes the commands that have come whole, as many as there may be.
func (c *client) read() error {
	for !c.crowded() {
		c.half = time.Time{}
		if c.skip > 0 {
			n, _ := c.in.Discard(min(c.skip, c.in.Buffered()))
			if c.skip -= n; c.skip > 0 {
				c.half = time.Now()
				return nil
			}
		}
		if c.turn != nil {
			t := c.turn
			if c.got < cap(t.value) {
				c.half = time.Now()
				return nil
			}
			n := c.got - 2
			if t.value[:c.got][n] != '\r' || t.value[:c.got][n+1] != '\n' {
				return wire.ErrBytes
			}
			t.value, c.turn = t.value[:n:n], nil
			c.ask(t)
			continue
		}
		b, _ := c.in.Peek(c.in.Buffered())
		cmd, n, err := wire.ParseCommand(b)
		if errors.Is(err, wire.ErrShort) {
			if len(b) > 0 {
				c.half = time.Now()
			}
			return nil
		}
		if err != nil {
			return err
		}
		t := c.begin(&cmd)
		c.in.Discard(n)
		switch {
		case cmd.Value >= 0 && t == nil:
			c.skip = cmd.Value + 2
		case cmd.Value >= 0:
			t.value, c.turn, c.got = make([]byte, 0, cmd.Value+2), t, 0
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
	return len(c.turns) >= maxTurns
}

// begin makes a turn of a command and answers at once what is no exchange, for which it returns nil.
func (c *client) begin(cmd *wire.Command) *turn {
	if !cmd.Is("KV.GET") && !cmd.Is("KV.SET") {
		t := &turn{client: c}
		c.queue(t)
		t.say(c.door.aside(cmd))
		return nil
	}
	d := c.door
	d.count.Exchanges.Add(1)
	if d.count.Held.Add(1) > d.places.Load() {
		d.count.Held.Add(-1)
		d.count.Crowded.Add(1)
		t := &turn{client: c}
		c.queue(t)
		t.answer(d.count, shed, nil, d.comeBack)
		return nil
	}
	all := make([]byte, 0, len(cmd.Name)+len(cmd.Key)+len(cmd.ID)+len(cmd.Facts))
	keep := func(b []byte) []byte {
		n := len(all)
		all = append(all, b...)
		return all[n:len(all):len(all)]
	}
	return &turn{client: c, holds: true, name: keep(cmd.Name), key: keep(cmd.Key), id: keep(cmd.ID), facts: keep(cmd.Facts)}
}

func (c *client) queue(t *turn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turns = append(c.turns, t)
}

// ask puts an exchange that has come whole to the module.
func (c *client) ask(t *turn) {
	d := c.door
	c.queue(t)
	facts, err := wire.ParseFacts(t.facts)
	if err == nil {
		err = wire.Plain(t.id, t.facts) // they become HTTP headers, which a line end in them would add to
	}
	if err != nil {
		d.log.Warn("facts not understood", zap.Error(err), zap.ByteString("facts", t.facts))
		t.say([]byte("-ERR bad facts\r\n"), nil)
		return
	}
	t.route, t.tenant, t.wait, t.repeat = string(facts.Route), string(facts.Tenant), facts.Wait, facts.Repeat
	t.came = d.mind.clock.Now()
	d.mind.box.post(func() { d.mind.arrive(t) })
}

// retire closes the connection as soon as nothing is owed on it.
func (c *client) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quits = true
	c.conn.SetReadDeadline(longAgo)
}

// idleSince tells since when nothing has been owed.
func (c *client) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used, len(c.turns) == 0 && !c.quits
}
