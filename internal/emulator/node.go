package emulator

import (
	"bufio"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Habit is how a node meets commands. The empty one serves as its work allows.
//
// Of a cache: hit miss busy fails silent garbled cuts halves once (closes after each answer) twice (answers each command two
// times) nowhere (refuses connections) endless (a value without its line end) drips (half of its answer at once and half
// after its slowness) holds (answers nothing until its habit is another, and then as that says); of the origin: hit chunked
// busy fails silent garbled cuts.
type Habit string

// Node is a stand-in for a cache (RESP2) or the origin (HTTP/1.1). It has an address for each proxy, so that it is known
// who asks.
type Node struct {
	Name   string
	Origin bool
	Taken  atomic.Int64 // commands that came whole

	mu           sync.Mutex
	mode         Habit
	modeChanged  chan struct{} // closed when the habit changes
	affectedPart float64       // of commands that the habit meets; the others are served
	delay        time.Duration
	valueSize    int
	listeners    []net.Listener
	addresses    []string
	conns        map[net.Conn]struct{}
	stopped      bool
	work         *workQueue
	state        *cluster
}

// NewNode starts a node with an address for each proxy, on the given loopback address.
func NewNode(ip, name string, origin bool, proxies int, log *EventLog) (*Node, error) {
	n := &Node{
		Name: name, Origin: origin, conns: map[net.Conn]struct{}{}, affectedPart: 1, modeChanged: make(chan struct{}),
		state: &cluster{Log: log},
	}
	for range proxies {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			n.Stop()
			return nil, err
		}
		n.listeners, n.addresses = append(n.listeners, ln), append(n.addresses, ln.Addr().String())
	}
	n.acceptAll()
	return n, nil
}

// Open is how many connections it has.
func (n *Node) Open() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

// Addr is where a proxy finds the node.
func (n *Node) Addr(proxy int) string { return n.addresses[proxy] }

// Set changes the node's habit, for a part of the commands.
func (n *Node) Set(mode Habit, part float64, delay time.Duration, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mode, n.affectedPart, n.delay, n.valueSize = mode, part, delay, size
	close(n.modeChanged)
	n.modeChanged = make(chan struct{})
	if mode == "nowhere" {
		for _, ln := range n.listeners {
			ln.Close()
		}
	}
}

// Stop ends the node: connections are reset and new ones refused.
func (n *Node) Stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
	close(n.modeChanged) // none is held any longer
	n.modeChanged = make(chan struct{})
	for _, ln := range n.listeners {
		ln.Close()
	}
	for c := range n.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
}

// Restart has a stopped node listen where it did.
func (n *Node) Restart() error {
	for i, addr := range n.addresses {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		n.listeners[i] = ln
	}
	n.mu.Lock()
	n.stopped = false
	n.mu.Unlock()
	n.acceptAll()
	n.attach(n.state)
	return nil
}

// join has a node's connections go over the links of a world.
func (n *Node) attach(w *cluster) {
	n.mu.Lock()
	n.state = w
	n.mu.Unlock()
	for proxy, ln := range n.listeners {
		w.network.guardListener(ln, n.Name, proxyName(proxy))
	}
}

func (n *Node) acceptAll() {
	for proxy, ln := range n.listeners {
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				n.mu.Lock()
				ways := n.state.network
				n.mu.Unlock()
				if ways.isFiller(c, n.Name, proxyName(proxy)) {
					continue
				}
				n.mu.Lock()
				dead := n.stopped
				if !dead {
					n.conns[c] = struct{}{}
				}
				n.mu.Unlock()
				if dead {
					c.Close()
					return
				}
				go n.serve(c, n.state.network.wrap(c, n.Name, proxyName(proxy)), proxy)
			}
		}()
	}
}

func (n *Node) serve(raw, c net.Conn, proxy int) {
	defer func() {
		c.Close()
		n.mu.Lock()
		delete(n.conns, raw)
		n.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		err := error(nil)
		if n.Origin {
			err = n.serveFetch(c, r, proxy)
		} else {
			err = n.serveCommand(c, r, proxy)
		}
		if err != nil {
			return
		}
	}
}

// Answer reads one element of RESP2: its opening line and, of a bulk string, what it holds.
func Answer(r *bufio.Reader) (head, body string, err error) {
	if head, err = r.ReadString('\n'); err != nil {
		return "", "", err
	}
	if head = strings.TrimRight(head, "\r\n"); head == "" {
		return "", "", errors.New("an empty line")
	}
	if head[0] == '$' && head != "$-1" {
		long, err := strconv.Atoi(head[1:])
		if err != nil || long < 0 || long > 64<<20 {
			return "", "", fmt.Errorf("a length %q", head)
		}
		b := make([]byte, long+2)
		if _, err = io.ReadFull(r, b); err != nil {
			return "", "", err
		}
		body = string(b[:long])
	}
	return head, body, nil
}

// Command words a command.
func EncodeCommand(words ...string) []byte {
	b := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, w := range words {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b
}

// ReadCommand reads a command's words, five at least, of which the last may be missing and empty.
func ReadCommand(r *bufio.Reader) ([]string, error) {
	head, err := r.ReadString('\n')
	if err != nil {
		return nil, err
	}
	count, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(head, "*")))
	if err != nil || count < 1 || count > 16 {
		return nil, errConnectionEnds
	}
	words := make([]string, max(count, 5))
	for i := range count {
		if _, words[i], err = Answer(r); err != nil {
			return nil, err
		}
	}
	return words, nil
}

var errConnectionEnds = errors.New("the connection ends with the answer")

// meets draws how the next command is met.
func (n *Node) nextMode(id string) (mode Habit, delay time.Duration, size int) {
	n.Taken.Add(1)
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.mode == "holds" && !n.stopped {
		changed := n.modeChanged
		n.mu.Unlock()
		<-changed
		n.mu.Lock()
	}
	mode = n.mode
	if n.affectedPart < 1 && hashedFloat(id, n.Name) >= n.affectedPart {
		mode = ""
	}
	return mode, n.delay, n.valueSize
}

// draw is a chance that the same words have on every run.
func hashedFloat(words ...string) float64 {
	h := fnv.New64a()
	for _, w := range words {
		io.WriteString(h, w+"\x00")
	}
	return rand.New(rand.NewPCG(h.Sum64(), 1)).Float64()
}

// value is what a node makes for a request: whose it is stands at its beginning.
func value(maker, id string, size int) string {
	v := maker + ":" + id
	return v + strings.Repeat(".", max(size-len(v), 0))
}

// MadeFor tells whom a value was made for, and by whom.
func ParseValue(v string) (maker, id string) {
	maker, id, _ = strings.Cut(strings.TrimRight(v, "."), ":")
	return maker, id
}

func (n *Node) serveCommand(c net.Conn, r *bufio.Reader, proxy int) error {
	args, err := ReadCommand(r)
	if err != nil {
		return err
	}
	id, fact := args[2], args[3]
	proxy = n.state.proxyFor(id, proxy)
	n.state.Log.Record(Seen{What: Took, ID: id, Proxy: proxy, Node: n.Name, Note: idempotencyKeyOf(fact)})
	mode, delay, size := n.nextMode(id)
	v := value(n.Name, id, size)
	if mode == "" {
		has, err := n.state.lookUp(n, proxy, id, args[1])
		switch {
		case err != nil:
			mode = "busy"
		case has:
			mode, v = "hit", value(n.Name, id, n.state.valueSize)
		default:
			mode = "miss"
		}
	} else if mode != "drips" {
		time.Sleep(delay)
	}
	whole := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(v), v)
	switch mode {
	case "hit", "once":
		_, err = io.WriteString(c, whole)
	case "twice":
		_, err = io.WriteString(c, whole+whole)
	case "miss":
		_, err = io.WriteString(c, "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")
	case "busy":
		_, err = io.WriteString(c, "-BUSY\r\n")
	case "fails":
		_, err = io.WriteString(c, "-ERR failed\r\n")
	case "garbled":
		_, err = io.WriteString(c, "?!\r\n")
	case "endless":
		_, err = fmt.Fprintf(c, "*1\r\n$%d\r\n%s..", len(v), v)
	case "drips":
		fmt.Fprintf(c, "*1\r\n$%d\r\n%s", len(v), v[:len(v)/2])
		time.Sleep(delay)
		_, err = io.WriteString(c, v[len(v)/2:]+"\r\n")
	case "halves":
		fmt.Fprintf(c, "*3\r\n$%d\r\n%s", len(v), v[:len(v)/2])
	}
	if mode == "once" || mode == "cuts" || mode == "halves" {
		return errConnectionEnds
	}
	return err
}

// mark is the idempotency key among a request's facts.
func idempotencyKeyOf(facts string) string {
	for _, f := range strings.Split(facts, ",") {
		if k, ok := strings.CutPrefix(f, "k="); ok {
			return k
		}
	}
	return ""
}

// fetch answers one request at the origin.
func (n *Node) serveFetch(c net.Conn, r *bufio.Reader, proxy int) error {
	request, err := http.ReadRequest(r)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return err
	}
	id, idempotencyKey := request.Header.Get("X-Correlation-Id"), idempotencyKeyOf(request.Header.Get("X-Facts"))
	proxy = n.state.proxyFor(id, proxy)
	write := request.Method == http.MethodPut
	if write && strings.Trim(string(body), "v") != "" {
		return errConnectionEnds // the value is not what clients write
	}
	n.state.Log.Record(Seen{What: Took, ID: id, Proxy: proxy, Node: n.Name, Note: idempotencyKey})
	mode, delay, size := n.nextMode(id)
	v := value(n.Name, id, size)
	if mode == "" {
		if err := n.state.fetch(n, proxy, id, strings.TrimPrefix(request.URL.Path, "/"), idempotencyKey, write); errors.Is(err, errAbsent) {
			mode = "absent"
		} else if err != nil {
			mode = "busy"
		} else {
			mode, v = "hit", value(n.Name, id, n.state.valueSize)
		}
	} else {
		time.Sleep(delay)
	}
	switch mode {
	case "hit":
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(v), v)
	case "absent":
		_, err = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	case "chunked":
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", v[:2], len(v)-2, v[2:])
	case "busy":
		_, err = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
	case "fails":
		_, err = io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	case "silent":
	case "garbled":
		io.WriteString(c, "SMTP 1\r\n\r\n")
		return errConnectionEnds
	default:
		return errConnectionEnds
	}
	return err
}

// work is what a node's cores do: commands that wait beyond its queue are turned away, and each that waits makes all
// slower. A node that starts anew is slow at first.
type workQueue struct {
	Server
	slowStart    time.Duration
	initialSpeed float64
	mu           sync.Mutex
	slowdown     float64 // slower than usual
	startedAt    time.Time
	waiting      atomic.Int64
	cores        chan struct{}
}

func newWorkQueue(s Server, cold time.Duration, coldFrom float64) *workQueue {
	return &workQueue{Server: s, slowStart: cold, initialSpeed: coldFrom, slowdown: 1, cores: make(chan struct{}, s.Cores)}
}

// slower has it take so many times as long as usual.
func (w *workQueue) setSlowdown(times float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowdown = times
}

var errQueueFull = errors.New("the queue is full")

// speed is the part of its usual speed that a node has.
func (w *workQueue) speed() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	part := 1.0
	if age := time.Since(w.startedAt); !w.startedAt.IsZero() && age < w.slowStart {
		part = w.initialSpeed + (1-w.initialSpeed)*float64(age)/float64(w.slowStart)
	}
	return part / w.slowdown
}

func (w *workQueue) process(id, node string) error {
	if w.waiting.Add(1) > int64(w.Queue+w.Cores) {
		w.waiting.Add(-1)
		return errQueueFull
	}
	defer w.waiting.Add(-1)
	w.cores <- struct{}{}
	defer func() { <-w.cores }()
	serviceMS := -math.Log(1-hashedFloat(id, node, "work")) * w.Service / w.speed()
	serviceMS *= 1 + w.Thrash*float64(max(w.waiting.Load()-int64(w.Cores), 0))
	time.Sleep(millis(serviceMS))
	return nil
}
