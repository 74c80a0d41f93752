package gossip

import (
	"errors"
	"fmt"
	"log"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"woodproxy/internal/wire"
	"woodproxy/replica"

	"github.com/hashicorp/memberlist"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
)

const (
	tick       = 100 * time.Millisecond
	probeTime  = 300 * time.Millisecond
	mostProbes = 8
	senders    = 4
	rejoin     = time.Second
	shownEvery = 5  // ticks
	fleetEvery = 2  // ticks
	quietly    = 20 // seconds between two lines of the library's troubles
)

// Proxy is what the talker tells of what it hears. Its calls may be waited for, and never wait for the talker.
type Proxy interface {
	Hear(index int64, t wire.Target) // a peer's discovery told of a node
	Heard(node string, answers bool) // a peer found a node silent, or answering
	Share(part float64)              // of what all proxies may do together
	Demand() int64                   // exchanges that clients asked for, since the start
	Writes() int64                   // words on writes that were spoken, since the start
	Fleet(all []replica.Member, behind bool)
	Row(row *replica.Row) // what a peer says, of the kinds that this package does not read
}

// Counters count what goes over.
type Counters struct {
	Packets, Streams, BytesIn, BytesOut, Dropped, Bad, Probes atomic.Int64
}

// Talker is one proxy's.
type Talker struct {
	Counters
	c       *Config
	me      string
	from    net.IP
	box     chan func()
	calls   chan func() // streams out
	in      *replica.Instance
	members *memberlist.Memberlist
	queue   *memberlist.TransmitLimitedQueue
	pulses  *memberlist.TransmitLimitedQueue // rows that the next one makes up for where they get lost
	proxy   Proxy
	log     *zap.Logger
	base    time.Time
	shown   atomic.Pointer[Shown]
	probes  atomic.Int64
	alone   bool // no seed answered, and that was said
	joined  atomic.Bool
	asked   atomic.Bool  // a seed is being asked
	near    atomic.Int64 // members that the library knows
	quit    chan struct{}
	ended   chan struct{}
	demand  int64
	demands time.Time
	rate    float64 // that clients ask at, the mean of some ten seconds
}

// Shown is what operators see.
type Shown struct {
	Behind  bool
	Share   float64
	Members []replica.Member
	Kinds   map[replica.Kind]replica.Held
	Refused int64
}

// Start binds the address and begins to talk.
func Start(c *Config, me, zone string, proxies int, sightLife replica.Time, seed uint64, proxy Proxy, lg *zap.Logger) (*Talker, error) {
	host, portText, err := net.SplitHostPort(c.Listen)
	if err != nil {
		return nil, err
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, err
	}
	t := &Talker{
		c: c, me: me, from: net.ParseIP(host), box: make(chan func(), 1024), calls: make(chan func(), 64), proxy: proxy, log: lg, base: time.Now(),
		quit: make(chan struct{}), ended: make(chan struct{}), demands: time.Now(),
	}
	incarnation := t.base.UnixMilli()
	t.in = replica.New(0, replica.Terms{
		Me: me, Incarnation: incarnation, Proxies: proxies, Address: c.Advertise, Zone: zone,
		Hold: replica.Time(c.Hold * float64(replica.Second)), Floor: c.Floor, SightLife: sightLife,
	}, seed)
	logger := log.New(&lines{t: t}, "", 0)
	inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: logger})
	if err != nil {
		return nil, fmt.Errorf("peers: listen: %w", err)
	}
	k := memberlist.DefaultLANConfig()
	k.Name, k.Label, k.Transport, k.Logger = fmt.Sprintf("%s/%d", me, incarnation), c.Cluster, newTransport(inner, t.from, &t.Counters), logger
	k.BindAddr, k.BindPort = host, port
	at, atPort, _ := net.SplitHostPort(c.Advertise)
	k.AdvertiseAddr = at
	k.AdvertisePort, _ = strconv.Atoi(atPort)
	k.GossipInterval, k.GossipNodes, k.GossipToTheDeadTime = 100*time.Millisecond, 4, time.Minute
	k.ProbeInterval, k.ProbeTimeout, k.SuspicionMult = 500*time.Millisecond, 250*time.Millisecond, 4
	k.TCPTimeout, k.PushPullInterval, k.RetransmitMult = time.Second, 15*time.Second, 3
	k.EnableCompression, k.UDPBufferSize, k.HandoffQueueDepth = false, 1400, 1024
	k.Delegate = t
	near := func() int { return int(t.near.Load()) }
	t.queue = &memberlist.TransmitLimitedQueue{NumNodes: near, RetransmitMult: 3}
	t.pulses = &memberlist.TransmitLimitedQueue{NumNodes: near, RetransmitMult: 2}
	if t.members, err = memberlist.Create(k); err != nil {
		k.Transport.Shutdown()
		return nil, fmt.Errorf("peers: %w", err)
	}
	for range senders {
		go func() {
			for {
				select {
				case call := <-t.calls:
					call()
				case <-t.quit:
					return
				}
			}
		}()
	}
	t.show()
	go t.run()
	return t, nil
}

func (t *Talker) now() replica.Time {
	return replica.Time(time.Since(t.base) / (100 * time.Microsecond))
}

func (t *Talker) run() {
	defer close(t.ended)
	ticks := time.NewTicker(tick)
	defer ticks.Stop()
	lastJoin, lastTick := time.Time{}, time.Now()
	for n := 0; ; n++ {
		select {
		case <-t.quit:
			return
		case call := <-t.box:
			if time.Since(lastTick) > 10*tick { // the process stood still: it has to know that before it takes what came meanwhile
				lastTick = time.Now()
				t.carry(t.in.Tick(t.now()))
			}
			call()
			continue
		case <-ticks.C:
			lastTick = time.Now()
		}
		if since := time.Since(t.demands); since >= time.Second {
			asked := t.proxy.Demand()
			t.rate += (float64(asked-t.demand)/since.Seconds() - t.rate) * min(since.Seconds()/10, 1)
			t.in.Demand(t.rate)
			t.demand, t.demands = asked, time.Now()
		}
		t.in.Writes(t.proxy.Writes())
		t.carry(t.in.Tick(t.now()))
		if time.Since(lastJoin) >= rejoin {
			lastJoin = time.Now()
			t.join(n)
		}
		if n%shownEvery == 0 {
			t.show()
		}
		if n%fleetEvery == 0 {
			t.proxy.Fleet(t.in.Members(), t.in.Behind())
		}
	}
}

// join asks those that the library has lost, or has never met: a cut that has healed is else not found out once both sides
// have forgotten each other.
func (t *Talker) join(n int) {
	known := map[string]bool{t.c.Advertise: true}
	for _, m := range t.members.Members() {
		known[m.Address()] = true
	}
	var lost []string
	for _, a := range t.c.Seeds {
		if !known[a] {
			known[a] = true
			lost = append(lost, a)
		}
	}
	for _, m := range t.in.Members() {
		// one that is heard of may be unknown to the library all the same: others tell a process that starts anew at their old
		// one's address whatever goes round, and it could answer nobody
		if m.State != "gone" && m.Address != "" && isReachable(m.Address) && !known[m.Address] {
			known[m.Address] = true
			lost = append(lost, m.Address)
		}
	}
	near := t.members.NumMembers()
	t.near.Store(int64(near))
	if near > 1 {
		t.joined.Store(true)
	}
	if len(lost) == 0 || t.asked.Swap(true) {
		return
	}
	few := lost[:0:0]
	for i := range min(3, len(lost)) {
		few = append(few, lost[(n/10+i)%len(lost)])
	}
	if near > 1 {
		few = few[:1]
	}
	go func() {
		defer t.asked.Store(false)
		got, err := t.members.Join(few)
		if got > 0 && !t.joined.Swap(true) {
			t.log.Info("peers: joined", zap.Strings("by", few))
		} else if got == 0 && err != nil && !t.joined.Load() && !t.alone {
			t.alone = true
			t.log.Warn("peers: no seed answers; serving alone", zap.Strings("seeds", few))
		}
	}()
}

func (t *Talker) show() {
	t.shown.Store(&Shown{Behind: t.in.Behind(), Share: t.in.Share(), Members: t.in.Members(), Kinds: t.in.Kinds(), Refused: t.in.Dropped})
}

// Shown is how things stood a moment ago.
func (t *Talker) Shown() *Shown { return t.shown.Load() }

// post waits for room: the list's actor may. offer does not, and drops.
func (t *Talker) post(call func()) {
	select {
	case t.box <- call:
	case <-t.quit:
	}
}

func (t *Talker) offer(call func()) {
	select {
	case t.box <- call:
	default:
		t.Dropped.Add(1)
	}
}

// Listed takes what this proxy's discovery told.
func (t *Talker) Listed(index int64, whole bool, list []wire.Target) {
	if !t.c.sharesEndpoints() {
		return
	}
	rows := make([]replica.Row, 0, len(list))
	for _, n := range list {
		body, err := msgpack.Marshal(&n)
		if err != nil {
			continue
		}
		row := replica.Row{Key: n.Name, Rank: replica.Leaving, Count: n.Since, Body: body}
		if n.Ready {
			row.Rank = replica.Active
		} else if n.Gone {
			row.Rank = replica.Left
		}
		rows = append(rows, row)
	}
	t.post(func() { t.carry(t.in.Listed(t.now(), whole, index, rows)) })
}

// Tell has peers hear of a node that went silent here, or answers again. It does not wait.
func (t *Talker) Tell(node string, answers bool) {
	t.offer(func() { t.carry(t.in.Saw(t.now(), node, answers)) })
}

// Speak has peers hear a row of this proxy's own, Put one that is nobody's. Neither waits.
func (t *Talker) Speak(kind replica.Kind, key string, life replica.Time, body []byte) {
	t.offer(func() { t.carry(t.in.Speak(t.now(), kind, key, life, body)) })
}

// Put has peers hear a row that is nobody's own.
func (t *Talker) Put(row replica.Row) { t.offer(func() { t.carry(t.in.Put(t.now(), row)) }) }

// Yield has the process that replaces this one speak for it.
func (t *Talker) Yield(on bool) { t.post(func() { t.in.Yield(on) }) }

// Close says goodbye, unless another process carries on, and ends.
func (t *Talker) Close() {
	done := make(chan struct{})
	t.post(func() {
		t.carry(t.in.Leave(t.now()))
		close(done)
	})
	select {
	case <-done:
		t.members.Leave(300 * time.Millisecond) // in which what is queued goes out
	case <-t.quit:
	}
	t.members.Shutdown()
	close(t.quit)
	<-t.ended
}

// carry does what the module decides.
func (t *Talker) carry(ds []replica.Decision) {
	for i := range ds {
		d := &ds[i]
		m := &message{Sender: t.me, Type: d.Act, Rows: d.Rows, Versions: d.Heads, RowIDs: d.IDs, Buckets: d.Which}
		switch d.Act {
		case replica.Spread:
			row := &d.Rows[0]
			queue := t.queue
			if row.Kind == replica.Pulse || row.Kind == replica.Beat {
				queue = t.pulses
			}
			queue.QueueBroadcast(&rumour{fmt.Sprint(row.Kind, "\x00", row.Key, "\x00", row.Writer), m.encode()})
		case replica.Digest:
			m.Digests = d.Sums[:]
			t.send(d.To, m, false)
		case replica.Busy, replica.Same:
			t.send(d.To, m, false)
		case replica.Heads, replica.Rows, replica.Want:
			t.send(d.To, m, true)
		case replica.Probe:
			t.probe(d.To, d.Address, d.Epoch)
		case replica.Changed:
			t.changed(&d.Rows[0])
		case replica.SetShare:
			t.proxy.Share(d.Share)
			t.show()
		case replica.Log:
			t.log.Info("peers: " + d.Text)
		}
	}
}

func (t *Talker) changed(row *replica.Row) {
	switch row.Kind {
	default:
		t.proxy.Row(row)
	case replica.Pulse, replica.Gone:
	case replica.Sight:
		t.proxy.Heard(row.Key, row.Rank == 0)
	case replica.Node:
		if !t.c.sharesEndpoints() {
			return
		}
		n := wire.Target{Name: row.Key, Gone: row.Rank == replica.Left}
		if len(row.Body) > 0 { // else a whole list lacked it
			if err := msgpack.Unmarshal(row.Body, &n); err != nil || n.Name != row.Key || n.Ready && n.Address == "" {
				t.Bad.Add(1)
				return
			}
		}
		n.Ready, n.Gone = row.Rank == replica.Active, row.Rank >= replica.Left
		t.proxy.Hear(row.Epoch, n)
	}
}

// send sends to the process that carries a proxy's name, the latest one if there are several.
func (t *Talker) send(to string, m *message, reliably bool) {
	var at *memberlist.Node
	for _, n := range t.members.Members() {
		k := strings.LastIndexByte(n.Name, '/') // a proxy's own name may hold one
		if k >= 0 && n.Name[:k] == to && (at == nil || n.Name[k:] > at.Name[k:]) {
			at = n
		}
	}
	if at == nil {
		return
	}
	b := m.encode()
	if !reliably && len(b) < 1200 {
		if err := t.members.SendBestEffort(at, b); err != nil {
			t.Dropped.Add(1)
		}
		return
	}
	select {
	case t.calls <- func() {
		if err := t.members.SendReliable(at, b); err != nil {
			t.Dropped.Add(1)
		}
	}:
	default:
		t.Dropped.Add(1)
	}
}

// probe looks whether anything listens where a proxy was met; only a refusal tells something.
func (t *Talker) probe(name, at string, incarnation int64) {
	if !isReachable(at) || t.probes.Load() >= mostProbes {
		return
	}
	t.probes.Add(1)
	t.Probes.Add(1)
	go func() {
		defer t.probes.Add(-1)
		d := net.Dialer{Timeout: probeTime, LocalAddr: &net.TCPAddr{IP: t.from}}
		c, err := d.Dial("tcp", at)
		if err == nil {
			c.Close()
		} else if errors.Is(err, syscall.ECONNREFUSED) {
			t.offer(func() { t.carry(t.in.Refused(t.now(), name, incarnation)) })
		}
	}()
}

// NodeMeta and what follows is what the library asks of those who use it. None of it waits.
func (t *Talker) NodeMeta(int) []byte { return nil }

// NotifyMsg takes a message from a peer.
func (t *Talker) NotifyMsg(b []byte) {
	m, err := decodeMessage(b)
	if err != nil {
		if t.Bad.Add(1)%1000 == 1 {
			t.log.Warn("peers: a message that can't be read is passed over", zap.Int("bytes", len(b)))
		}
		return
	}
	t.offer(func() {
		switch m.Type {
		case replica.Spread, replica.Rows:
			t.carry(t.in.Rows(t.now(), m.Sender, m.Rows))
		case replica.Digest:
			if len(m.Digests) == replica.Buckets {
				t.carry(t.in.Digest(t.now(), m.Sender, replica.Sums(m.Digests)))
			}
		case replica.Heads:
			t.carry(t.in.Heads(t.now(), m.Sender, m.Buckets, m.Versions))
		case replica.Want:
			t.carry(t.in.Want(t.now(), m.Sender, m.RowIDs))
		case replica.Busy:
			t.carry(t.in.Busy(t.now(), m.Sender))
		case replica.Same:
			t.carry(t.in.Same(t.now(), m.Sender))
		default: // a later version's
			t.Bad.Add(1)
		}
	})
}

// GetBroadcasts hands the library what is to be spread.
func (t *Talker) GetBroadcasts(overhead, limit int) [][]byte {
	all := t.queue.GetBroadcasts(overhead, limit)
	for _, b := range all {
		limit -= len(b) + overhead
	}
	return append(all, t.pulses.GetBroadcasts(overhead, limit)...)
}

// LocalState is empty: what was missed is asked for by digests.
func (t *Talker) LocalState(bool) []byte { return nil }

// MergeRemoteState takes nothing.
func (t *Talker) MergeRemoteState([]byte, bool) {}

// rumour is a row on its way round; a later copy takes its place.
type rumour struct {
	id   string
	text []byte
}

func (r *rumour) Name() string    { return r.id }
func (r *rumour) Message() []byte { return r.text }
func (r *rumour) Finished()       {}
func (r *rumour) Invalidates(o memberlist.Broadcast) bool {
	n, ok := o.(*rumour)
	return ok && n.id == r.id
}

// lines takes the library's log: its troubles are counted, and one is told now and then.
type lines struct {
	t    *Talker
	last time.Time
}

func (l *lines) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	if strings.HasPrefix(text, "[ERR]") || strings.HasPrefix(text, "[WARN]") {
		l.t.Bad.Add(1)
		if time.Since(l.last) > quietly*time.Second {
			l.last = time.Now()
			l.t.log.Warn("peers: "+text, zap.Int64("troubles", l.t.Bad.Load()))
		}
	}
	return len(b), nil
}
