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

	mu    sync.Mutex
	habit Habit
	other chan struct{} // closed when the habit changes
	part  float64       // of commands that the habit meets; the others are served
	slow  time.Duration
	size  int
	lines []net.Listener
	addrs []string
	conns map[net.Conn]struct{}
	dead  bool
	work  *work
	world *World
}

// NewNode starts a node with an address for each proxy, on the given loopback address.
func NewNode(ip, name string, origin bool, proxies int, log *Log) (*Node, error) {
	n := &Node{
		Name: name, Origin: origin, conns: map[net.Conn]struct{}{}, part: 1, other: make(chan struct{}),
		world: &World{Log: log},
	}
	for range proxies {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			n.Stop()
			return nil, err
		}
		n.lines, n.addrs = append(n.lines, ln), append(n.addrs, ln.Addr().String())
	}
	n.open()
	return n, nil
}

// Open is how many connections it has.
func (n *Node) Open() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

// Addr is where a proxy finds the node.
func (n *Node) Addr(proxy int) string { return n.addrs[proxy] }

// Set changes the node's habit, for a part of the commands.
func (n *Node) Set(habit Habit, part float64, slow time.Duration, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.habit, n.part, n.slow, n.size = habit, part, slow, size
	close(n.other)
	n.other = make(chan struct{})
	if habit == "nowhere" {
		for _, ln := range n.lines {
			ln.Close()
		}
	}
}

// Stop ends the node: connections are reset and new ones refused.
func (n *Node) Stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead = true
	close(n.other) // none is held any longer
	n.other = make(chan struct{})
	for _, ln := range n.lines {
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
	for i, addr := range n.addrs {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		n.lines[i] = ln
	}
	n.mu.Lock()
	n.dead = false
	n.mu.Unlock()
	n.open()
	n.join(n.world)
	return nil
}

// join has a node's connections go over the links of a world.
func (n *Node) join(w *World) {
	n.mu.Lock()
	n.world = w
	n.mu.Unlock()
	for proxy, ln := range n.lines {
		w.ways.guard(ln, n.Name, proxyName(proxy))
	}
}

func (n *Node) open() {
	for proxy, ln := range n.lines {
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				n.mu.Lock()
				ways := n.world.ways
				n.mu.Unlock()
				if ways.stranger(c, n.Name, proxyName(proxy)) {
					continue
				}
				n.mu.Lock()
				dead := n.dead
				if !dead {
					n.conns[c] = struct{}{}
				}
				n.mu.Unlock()
				if dead {
					c.Close()
					return
				}
				go n.serve(c, n.world.ways.over(c, n.Name, proxyName(proxy)), proxy)
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
			err = n.fetch(c, r, proxy)
		} else {
			err = n.command(c, r, proxy)
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
func Command(words ...string) []byte {
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
		return nil, errEnds
	}
	words := make([]string, max(count, 5))
	for i := range count {
		if _, words[i], err = Answer(r); err != nil {
			return nil, err
		}
	}
	return words, nil
}

var errEnds = errors.New("the connection ends with the answer")

// meets draws how the next command is met.
func (n *Node) meets(id string) (habit Habit, slow time.Duration, size int) {
	n.Taken.Add(1)
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.habit == "holds" && !n.dead {
		other := n.other
		n.mu.Unlock()
		<-other
		n.mu.Lock()
	}
	habit = n.habit
	if n.part < 1 && draw(id, n.Name) >= n.part {
		habit = ""
	}
	return habit, n.slow, n.size
}

// draw is a chance that the same words have on every run.
func draw(words ...string) float64 {
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
func MadeFor(v string) (maker, id string) {
	maker, id, _ = strings.Cut(strings.TrimRight(v, "."), ":")
	return maker, id
}

func (n *Node) command(c net.Conn, r *bufio.Reader, proxy int) error {
	words, err := ReadCommand(r)
	if err != nil {
		return err
	}
	id, fact := words[2], words[3]
	proxy = n.world.whose(id, proxy)
	n.world.Log.See(Seen{What: Took, ID: id, Proxy: proxy, Node: n.Name, Note: mark(fact)})
	habit, slow, size := n.meets(id)
	v := value(n.Name, id, size)
	if habit == "" {
		has, err := n.world.read(n, proxy, id, words[1])
		switch {
		case err != nil:
			habit = "busy"
		case has:
			habit, v = "hit", value(n.Name, id, n.world.size)
		default:
			habit = "miss"
		}
	} else if habit != "drips" {
		time.Sleep(slow)
	}
	whole := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(v), v)
	switch habit {
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
		time.Sleep(slow)
		_, err = io.WriteString(c, v[len(v)/2:]+"\r\n")
	case "halves":
		fmt.Fprintf(c, "*3\r\n$%d\r\n%s", len(v), v[:len(v)/2])
	}
	if habit == "once" || habit == "cuts" || habit == "halves" {
		return errEnds
	}
	return err
}

// mark is the idempotency key among a request's facts.
func mark(facts string) string {
	for _, f := range strings.Split(facts, ",") {
		if k, ok := strings.CutPrefix(f, "k="); ok {
			return k
		}
	}
	return ""
}

// fetch answers one request at the origin.
func (n *Node) fetch(c net.Conn, r *bufio.Reader, proxy int) error {
	q, err := http.ReadRequest(r)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return err
	}
	id, k := q.Header.Get("X-Correlation-Id"), mark(q.Header.Get("X-Facts"))
	proxy = n.world.whose(id, proxy)
	write := q.Method == http.MethodPut
	if write && strings.Trim(string(body), "v") != "" {
		return errEnds // the value is not what clients write
	}
	n.world.Log.See(Seen{What: Took, ID: id, Proxy: proxy, Node: n.Name, Note: k})
	habit, slow, size := n.meets(id)
	v := value(n.Name, id, size)
	if habit == "" {
		if err := n.world.fetched(n, proxy, id, strings.TrimPrefix(q.URL.Path, "/"), k, write); errors.Is(err, errAbsent) {
			habit = "absent"
		} else if err != nil {
			habit = "busy"
		} else {
			habit, v = "hit", value(n.Name, id, n.world.size)
		}
	} else {
		time.Sleep(slow)
	}
	switch habit {
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
		return errEnds
	default:
		return errEnds
	}
	return err
}

// work is what a node's cores do: commands that wait beyond its queue are turned away, and each that waits makes all
// slower. A node that starts anew is slow at first.
type work struct {
	Server
	cold     time.Duration
	coldFrom float64
	mu       sync.Mutex
	times    float64 // slower than usual
	since    time.Time
	waiting  atomic.Int64
	cores    chan struct{}
}

func newWork(s Server, cold time.Duration, coldFrom float64) *work {
	return &work{Server: s, cold: cold, coldFrom: coldFrom, times: 1, cores: make(chan struct{}, s.Cores)}
}

// slower has it take so many times as long as usual.
func (w *work) slower(times float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.times = times
}

var errFull = errors.New("the queue is full")

// speed is the part of its usual speed that a node has.
func (w *work) speed() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	part := 1.0
	if age := time.Since(w.since); !w.since.IsZero() && age < w.cold {
		part = w.coldFrom + (1-w.coldFrom)*float64(age)/float64(w.cold)
	}
	return part / w.times
}

func (w *work) do(id, node string) error {
	if w.waiting.Add(1) > int64(w.Queue+w.Cores) {
		w.waiting.Add(-1)
		return errFull
	}
	defer w.waiting.Add(-1)
	w.cores <- struct{}{}
	defer func() { <-w.cores }()
	long := -math.Log(1-draw(id, node, "work")) * w.Service / w.speed()
	long *= 1 + w.Thrash*float64(max(w.waiting.Load()-int64(w.Cores), 0))
	time.Sleep(millis(long))
	return nil
}
