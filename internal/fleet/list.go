package fleet

import (
	"bufio"
	"errors"
	"net"
	"time"

	"github.com/valyala/fastjson"
	"go.uber.org/zap"

	"woodproxy/internal/wire"
)

const (
	hushOfWatch = 3 * time.Second // a watch says something every two seconds
	dialOfWatch = time.Second
	pauseWatch  = 200 * time.Millisecond
)

// List is the actor of the list: it watches discovery and tells the module's actor.
type List struct {
	addr  string
	index int64
	mind  *Mind
	first chan struct{} // closed when discovery has spoken
	told  bool
	count *Counters
	log   *zap.Logger
}

// NewList hands the list that this proxy last had, which may be nil, to the module's actor.
func NewList(addr string, known *fastjson.Value, mind *Mind, count *Counters, log *zap.Logger) (*List, error) {
	l := &List{addr: addr, mind: mind, first: make(chan struct{}), count: count, log: log}
	var list []wire.Target
	if known != nil && known.Type() != fastjson.TypeNull {
		var err error
		if l.index, _, list, err = wire.ParseTargets(known); err != nil {
			return nil, err
		}
	}
	if len(list) > 0 {
		mind.box.post(func() { mind.nodes(true, true, list) })
	}
	return l, nil
}

// First is closed when discovery has spoken.
func (l *List) First() <-chan struct{} { return l.first }

// Run watches for as long as the program lives, and anew after each end of a watch.
func (l *List) Run() {
	for quiet := ""; ; time.Sleep(pauseWatch) {
		var err error
		guarded(l.log, l.count, func() { err = l.watch() })
		if errors.Is(err, wire.ErrBytes) {
			l.index = 0 // the whole list, since what it said is in doubt
			l.count.BadPeer.Add(1)
		}
		if text := errText(err); text != quiet { // one line for a spell of the same trouble
			l.log.Warn("watch of the list ended", zap.Error(err), zap.Int64("index", l.index))
			quiet = text
		}
	}
}

func errText(err error) string {
	var net *net.OpError
	if errors.As(err, &net) {
		return net.Op + ": " + net.Err.Error()
	}
	if err == nil {
		return ""
	}
	return err.Error()
}

// watch follows the list until the connection ends.
func (l *List) watch() error {
	conn, err := net.DialTimeout("tcp", l.addr, dialOfWatch)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(hushOfWatch))
	if _, err := conn.Write(wire.AppendWatch(nil, l.addr, l.index)); err != nil {
		return err
	}
	w, err := wire.ReadWatch(bufio.NewReaderSize(conn, 4<<10))
	if err != nil {
		return err
	}
	l.count.Watches.Add(1)
	var parse fastjson.Parser
	for {
		conn.SetDeadline(time.Now().Add(hushOfWatch))
		line, err := w.Next()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			l.spoke()
			continue
		}
		v, err := parse.ParseBytes(line)
		if err != nil {
			return errors.Join(wire.ErrBytes, err)
		}
		index, whole, list, err := wire.ParseTargets(v)
		if err != nil {
			return err
		}
		l.index = index
		l.mind.box.post(func() { l.mind.nodes(whole, false, list) })
		l.spoke()
	}
}

func (l *List) spoke() {
	if !l.told {
		l.told = true
		close(l.first)
	}
}
