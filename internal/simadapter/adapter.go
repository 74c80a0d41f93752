// Package simadapter speaks the simulator's wire: it decodes its lines into calls on the decision module's
// instances and encodes their decisions. It decides nothing.
package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"strconv"
	"strings"

	"woodproxy/balancer"
	"woodproxy/internal/settings"

	"github.com/valyala/fastjson"
)

// maxLists is how many numbered lists the wire has.
const maxLists = 16

// tray is where an exchange's wire name lives while the exchange or any of its upstream tries does.
type tray struct {
	id   string
	out  int
	over bool
}

// proxy is one instance with its door: wire names on one side, small indices on the other.
type proxy struct {
	mind  *balancer.Instance
	book  *settings.Book
	nodes map[string]int // emptied when the instance starts anew
	codes map[string]int // what peers call them; emptied with it
	names []string
	trays map[string]int // emptied as exchanges end
	slots []tray
	free  []int
	mark  int64 // number of the timer that counts
	told  bool  // has had a list
}

type host struct {
	in      *bufio.Reader
	out     *bufio.Writer
	line    int
	long    []byte
	parse   fastjson.Parser
	now     balancer.Time
	proxies map[int]*proxy
	lists   [maxLists][]listed
	filled  [maxLists]bool
	num     []byte
	arena   fastjson.Arena
}

// listed is one line of a numbered list, still in wire names.
type listed struct {
	kind, name, zone, state string
	since                   balancer.Time
	weight                  float64
	cell                    int
}

// Serve reads batches and writes replies until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	h := &host{in: bufio.NewReaderSize(in, 1<<16), out: bufio.NewWriterSize(out, 1<<16), proxies: map[int]*proxy{}}
	inside := false
	for {
		text, err := h.readLine()
		if errors.Is(err, io.EOF) {
			if inside {
				return fmt.Errorf("line %d: input ends inside a batch", h.line)
			}
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", h.line, err)
		}
		if len(text) == 0 && !inside {
			continue
		}
		if err := h.message(text, &inside); err != nil {
			return fmt.Errorf("line %d: %w", h.line, err)
		}
	}
}

// readLine returns the next line without its end; it stands until the next call.
func (h *host) readLine() ([]byte, error) {
	h.line++
	h.long = h.long[:0]
	for {
		part, err := h.in.ReadSlice('\n')
		if err == nil && len(h.long) == 0 {
			return trim(part), nil
		}
		h.long = append(h.long, part...)
		switch {
		case err == nil, err == io.EOF && len(h.long) > 0:
			return trim(h.long), nil
		case err != bufio.ErrBufferFull:
			return nil, err
		}
	}
}

func trim(s []byte) []byte {
	for len(s) > 0 && (s[len(s)-1] == '\n' || s[len(s)-1] == '\r' || s[len(s)-1] == ' ') {
		s = s[:len(s)-1]
	}
	return s
}

func (h *host) message(text []byte, inside *bool) error {
	v, err := h.parse.ParseBytes(text)
	if err != nil {
		return errors.New("not JSON")
	}
	vals, err := v.Array()
	if err != nil || len(vals) == 0 || vals[0].Type() != fastjson.TypeString {
		return errors.New("not an array that begins with a message name")
	}
	name := string(vals[0].GetStringBytes())
	f := fields{name: name, vals: vals[1:]}
	if !*inside {
		if name != "mark" {
			return fmt.Errorf("%s: outside a batch", name)
		}
		h.now = f.time(0, "clock", need)
		*inside = true
		return f.err
	}
	switch name {
	case "mark":
		return errors.New("mark: inside a batch")
	case "go":
		*inside = false
		h.out.WriteString("[\"eor\"]\n")
		return h.out.Flush()
	case "register":
		return h.register(&f)
	}
	handle, ok := handlers[name]
	if !ok {
		return fmt.Errorf("%s: unknown message", name)
	}
	who := f.count(0, "who", need)
	if f.err != nil {
		return f.err
	}
	p := h.proxies[who]
	if p == nil && name != "boot" {
		return fmt.Errorf("%s: who: instance %d is not running", name, who)
	}
	ds := handle(h, p, &f, who)
	if f.err != nil {
		return f.err
	}
	if p != nil {
		h.encode(who, p, ds)
	}
	return nil
}

var handlers = map[string]func(*host, *proxy, *fields, int) []balancer.Decision{
	"boot": (*host).boot, "fleet": (*host).fleet, "order": (*host).order, "started": (*host).started,
	"client-left": (*host).left, "timeout-fired": (*host).fired, "returned": (*host).returned,
	"sampled": (*host).sampled, "from-peer": (*host).fromPeer, "power-off": (*host).powerOff,
}

func (h *host) register(f *fields) error {
	bank := f.count(0, "bank", need)
	if f.err == nil && bank >= maxLists {
		f.fail("bank", "out of range")
	}
	rows := f.array(1, "entries")
	if f.err != nil {
		return f.err
	}
	list := h.lists[bank][:0]
	for _, row := range rows {
		cells, err := row.Array()
		if err != nil {
			f.fail("entries", "an entry is not an array")
			return f.err
		}
		e := fields{name: "register", vals: cells}
		l := listed{
			kind: e.text(0, "generation-hw", may), state: e.text(1, "readiness", need),
			cell: e.count(2, "stripe", may), since: e.time(3, "up-since", may), weight: e.number(4, "capacity-hint", may),
			zone: e.text(5, "zone", may), name: e.text(6, "node", need),
		}
		if e.err == nil && l.state != "SERVING" && l.state != "DRAINING" && l.state != "DELETED" {
			e.fail("readiness", "out of its range")
		}
		if e.err == nil && l.weight < 0 {
			e.fail("capacity-hint", "out of its range")
		}
		if e.err != nil {
			return e.err
		}
		list = append(list, l)
	}
	h.lists[bank], h.filled[bank] = list, true
	return nil
}

func (h *host) fleet(p *proxy, f *fields, _ int) []balancer.Decision {
	f.number(1, "index", may)
	mode := f.text(3, "mode", need)
	if mode == "FAILED" && f.err == nil {
		return p.mind.ListFailed(h.now)
	}
	bank := f.count(2, "bank", need)
	switch {
	case f.err != nil:
		return nil
	case mode != "INCREMENTAL" && mode != "FULL" && mode != "SAVED":
		f.fail("mode", "out of its range")
		return nil
	case bank >= maxLists || !h.filled[bank]:
		f.fail("bank", "unknown list number")
		return nil
	}
	lines := make([]balancer.Listing, 0, len(h.lists[bank]))
	for _, l := range h.lists[bank] {
		n, ok := p.nodes[l.name]
		if !ok {
			n = len(p.names)
			p.nodes[l.name] = n
			p.codes[code(l.name)] = n
			p.names = append(p.names, l.name)
		}
		zone, ok := p.book.Zones[l.zone]
		if !ok {
			zone = -1
		}
		lines = append(lines, balancer.Listing{
			Node: n, Name: l.name, Origin: p.book.Origin != "" && l.kind == p.book.Origin,
			Ready: l.state == "SERVING", Since: l.since, Weight: l.weight, Zone: zone, Cell: l.cell,
		})
	}
	first := !p.told
	p.told = true
	return p.mind.Nodes(h.now, mode != "INCREMENTAL", first || mode == "SAVED", lines)
}

func (h *host) order(p *proxy, f *fields, _ int) []balancer.Decision {
	id := f.text(1, "txn", need)
	f.number(2, "size", may)
	f.number(3, "predicted", may)
	e := balancer.Exchange{
		Tenant: -1, Remaining: f.time(5, "remaining", need), Repeat: f.flag(7, "retry"),
		Write: f.flag(8, "mutates"),
	}
	if team := f.at(4); team != nil && team.Type() == fastjson.TypeString {
		if t, ok := p.book.Tenants[string(team.GetStringBytes())]; ok {
			e.Tenant = t
		}
	} else if team != nil && team.Type() != fastjson.TypeNumber {
		f.fail("team", "mistyped")
	}
	kind := f.text(6, "kind", need)
	route, ok := p.book.Routes[kind]
	if f.err == nil && !ok {
		f.fail("kind", "not in the settings")
	}
	if key := f.at(9); key != nil {
		n, err := key.Uint64()
		if err != nil {
			f.fail("route-key", "mistyped")
		}
		e.Key, e.Keyed = n, true
	}
	if _, twice := p.trays[id]; f.err == nil && twice {
		f.fail("txn", "given twice")
	}
	if f.err != nil {
		return nil
	}
	e.Route = route
	cx := len(p.slots)
	if n := len(p.free); n > 0 {
		cx, p.free = p.free[n-1], p.free[:n-1]
		p.slots[cx] = tray{id: id}
	} else {
		p.slots = append(p.slots, tray{id: id})
	}
	p.trays[id] = cx
	return p.mind.Arrive(h.now, cx, e)
}

func (h *host) started(p *proxy, f *fields, _ int) []balancer.Decision {
	id := f.text(1, "txn", need)
	f.count(2, "leg", need)
	f.text(3, "node", need)
	f.number(4, "elapsed", may)
	cx, ok := p.trays[id]
	if f.err != nil || !ok {
		return nil
	}
	return p.mind.Streaming(h.now, cx)
}

func (h *host) left(p *proxy, f *fields, _ int) []balancer.Decision {
	id := f.text(1, "txn", need)
	cx, ok := p.trays[id]
	if f.err != nil || !ok {
		return nil
	}
	ds := p.mind.Left(h.now, cx)
	p.slots[cx].over = true
	p.clear(cx)
	return ds
}

func (h *host) fired(p *proxy, f *fields, _ int) []balancer.Decision {
	mark := f.whole(1, "mark")
	if f.err != nil || mark != p.mark {
		return nil
	}
	return p.mind.Woken(h.now)
}

var endings = map[string]balancer.Ending{
	"pass": balancer.Completed, "fault": balancer.Fault, "no_room": balancer.NoRoom, "too_slow": balancer.Silent,
	"no_route": balancer.Unreachable, "cut": balancer.Cut, "undone": balancer.Undone, "stale_send": balancer.NeverSent,
	"none_here": balancer.Lacking,
}

func (h *host) returned(p *proxy, f *fields, _ int) []balancer.Decision {
	id := f.text(1, "txn", need)
	node := f.text(2, "node", need)
	f.count(3, "leg", need)
	f.number(4, "info", may)
	took := f.time(5, "elapsed", may)
	word := f.text(6, "ending", need)
	ended := f.flag(7, "ended")
	f.object(8, "report")
	ending, ok := endings[word]
	if f.err == nil && !ok {
		f.fail("ending", "out of its range")
	}
	cx, known := p.trays[id]
	n, listed := p.nodes[node]
	if f.err == nil && !listed {
		f.fail("node", "in no list")
	}
	if f.err != nil || !known || p.slots[cx].out == 0 {
		return nil
	}
	p.slots[cx].out--
	if ended {
		p.slots[cx].over = true
	}
	ds := p.mind.Returned(h.now, balancer.Answer{Cx: cx, Node: n, Ending: ending, Took: took, Ended: ended})
	p.clear(cx)
	return ds
}

func (h *host) sampled(p *proxy, f *fields, _ int) []balancer.Decision {
	f.text(1, "node", need)
	f.number(2, "elapsed", may)
	f.text(3, "ending", need)
	f.object(4, "report")
	return nil
}

func (h *host) fromPeer(p *proxy, f *fields, _ int) []balancer.Decision {
	text := f.at(2)
	if text == nil {
		return nil
	}
	name, answers := strings.CutSuffix(string(text.GetStringBytes()), "+")
	n, known := p.codes[name]
	if !known {
		return nil // no text, garbled, or of a node that was never on this proxy's list
	}
	return p.mind.Heard(h.now, n, answers)
}

func (h *host) powerOff(p *proxy, f *fields, who int) []balancer.Decision {
	delete(h.proxies, who)
	return nil
}

// code is what peers call a node: few bytes, since each receiver is paid for by the byte.
func code(name string) string {
	h := fnv.New32a()
	h.Write([]byte(name))
	return strconv.FormatUint(uint64(h.Sum32()), 36)
}

// clear gives an exchange's index back once nothing more can come for it.
func (p *proxy) clear(cx int) {
	s := &p.slots[cx]
	if s.over && s.out == 0 && s.id != "" {
		delete(p.trays, s.id)
		s.id = ""
		p.free = append(p.free, cx)
	}
}

func (h *host) encode(who int, p *proxy, ds []balancer.Decision) {
	for i := range ds {
		d := &ds[i]
		switch d.Act {
		case balancer.Send:
			h.begin("try", who)
			h.str(p.slots[d.Cx].id)
			h.ms(d.After)
			h.str(p.names[d.Node])
			p.slots[d.Cx].out++
		case balancer.Cancel:
			h.begin("abort-attempt", who)
			h.str(p.slots[d.Cx].id)
			h.int(int64(d.Leg))
		case balancer.Shed:
			h.begin("busy", who)
			h.str(p.slots[d.Cx].id)
			h.ms(d.After)
			p.slots[d.Cx].over = true
		case balancer.Error:
			h.begin("finish-error", who)
			h.str(p.slots[d.Cx].id)
			p.slots[d.Cx].over = true
		case balancer.Wake:
			p.mark++
			h.begin("wake-me", who)
			h.ms(d.After)
			h.int(p.mark)
		case balancer.Follow:
			h.begin("follow", who)
			h.out.WriteString(",true")
		case balancer.Tell:
			h.begin("publish", who)
			h.int(int64(d.Peer))
			name := code(p.names[d.Node])
			if d.Answers {
				name += "+"
			}
			h.str(name)
		case balancer.Log:
			h.begin("say-log", who)
			h.str(d.Text)
		}
		h.out.WriteString("]\n")
	}
	for i := range ds {
		if ds[i].Act == balancer.Shed || ds[i].Act == balancer.Error {
			p.clear(ds[i].Cx)
		}
	}
}

func (h *host) begin(name string, who int) {
	h.out.WriteString("[\"")
	h.out.WriteString(name)
	h.out.WriteByte('"')
	h.int(int64(who))
}

func (h *host) int(n int64) {
	h.out.WriteByte(',')
	h.num = strconv.AppendInt(h.num[:0], n, 10)
	h.out.Write(h.num)
}

func (h *host) ms(t balancer.Time) {
	h.out.WriteByte(',')
	h.num = strconv.AppendFloat(h.num[:0], float64(t)/10, 'f', 1, 64)
	h.out.Write(h.num)
}

func (h *host) str(s string) {
	h.out.WriteByte(',')
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			h.out.Write(h.arena.NewString(s).MarshalTo(nil))
			h.arena.Reset()
			return
		}
	}
	h.out.WriteByte('"')
	h.out.WriteString(s)
	h.out.WriteByte('"')
}
