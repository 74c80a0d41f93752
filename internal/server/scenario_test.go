package server

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"woodproxy/internal/emulator"
	"woodproxy/internal/testscript"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"
)

// A scenario plays one proxy on loopback sockets, among stand-ins:
//
//	limits WORD=N ...                        memory_mb, sockets; before start
//	settings OLD NEW                         puts one text in the place of another in the settings; before start
//	watch JSON                               settings that are only watched; before start
//	node NAME HABIT [slow=MS] [size=N]       starts a cache or (o1) the origin, or changes its habit
//	list NAME[:leaving|:left] ...            what discovery says: the first is whole, others are changes
//	discovery up|silent|down|cut|garbled|full     down goes on when it is up, silent stays so for those who asked meanwhile; full turns watches away, cut ends the watches that are out
//	reload moved|bad                         a new configuration file and SIGHUP: discovery has moved, or it can't be read
//	old gone                                 discovery's old address ends the watches that are out there
//	call METHOD PATH STATUS [with=N|garbage] an operator's call, with a body of N bytes or garbage for a head
//	ringers N                                so many connect where operators call, and finish no call
//	replace                                  a second process beside the first, which is told to stop once the second is ready
//	start [known=NAME,NAME]                  a known node is one that node has started, or is nowhere
//	CLIENT get KEY [wait=MS] [times=N] | set KEY [size=N] [wait=MS] | ping [times=N] | raw TEXT | leaves
//	CLIENT gets value [from=NAME] | busy | busy-at-will | error | pong | closed | nothing [times=N]    the next answers
//	CLIENT gets begun within=MS                  the first byte of the next answer, which is left there
//	expect NAME|COUNTER|calls OP N           tries that a node took whole, a counter, or watches asked for; within two seconds
//	crowd N [from=N] | mutes N                        so many clients come, hear pong and stay; or come and say nothing
//	pause MS | stop | running | stopped
//
// Stand-ins are the emulator's, and so are their habits.
func TestScenarios(t *testing.T) {
	testscript.Play(t, "scenarios/*.txt", func(t *testing.T) testscript.Stage {
		t.Parallel()
		return newStage(t)
	})
}

// stages counts them: each has a loopback address of its own, or a port that one gave up may be another's next.
var stages atomic.Int64

func newStage(t *testing.T) *stage {
	n := stages.Add(1)
	return &stage{
		t: t, ip: fmt.Sprintf("127.9.%d.%d", n/250, n%250+1), nodes: map[string]*emulator.Node{}, clients: map[string]*caller{}, lists: emulator.NewDiscovery(0, nil),
		limits: map[string]string{}, settings: settingsJSON, watch: "null", signals: make(chan os.Signal, 1), ended: make(chan error, 1),
	}
}

type stage struct {
	t        *testing.T
	line     int
	ip       string
	limits   map[string]string
	settings string
	watch    string
	nodes    map[string]*emulator.Node
	clients  map[string]*caller
	lists    *emulator.Discovery
	addr     string
	calls    string // where operators call
	shared   string // where a process meets the one that replaces it
	ringers  []net.Conn
	file     string // of the configuration, and what is in it
	text     string
	watched  string // discovery's address
	old      *http.Server
	now      *http.Server
	signals  chan os.Signal
	ended    chan error
}

func (s *stage) fail(format string, args ...any) {
	s.t.Helper()
	s.t.Errorf("line %d: %s", s.line, fmt.Sprintf(format, args...))
}

func (s *stage) Step(line int, w []string) {
	s.line = line
	m := testscript.Words(w[1:])
	switch w[0] {
	case "limits":
		s.limits = m
	case "node":
		n := s.nodes[w[1]]
		if n == nil {
			var err error
			if n, err = emulator.NewNode(s.ip, w[1], w[1][0] == 'o', 1, nil); err != nil {
				s.t.Fatal(err)
			}
			s.t.Cleanup(n.Stop)
			s.nodes[w[1]] = n
		}
		n.Set(emulator.Habit(w[2]), 1, time.Duration(testscript.Num(m["slow"]))*time.Millisecond, int(testscript.Num(m["size"])))
	case "list":
		s.say(w[1:])
	case "discovery":
		s.lists.Feel(emulator.Mood(strings.Replace(w[1], "up", "", 1)))
	case "start":
		s.start(m["known"])
	case "reload":
		if w[1] == "moved" {
			from := s.watched
			s.old = s.now
			s.now, s.watched = s.discovery()
			s.text = strings.Replace(s.text, from, s.watched, 1)
		}
		text := s.text
		if w[1] == "bad" {
			text = text[:len(text)/2]
		}
		if err := os.WriteFile(s.file, []byte(text), 0o600); err != nil {
			s.t.Fatal(err)
		}
		s.signals <- syscall.SIGHUP
	case "old":
		s.old.Close()
	case "replace":
		s.replace()
	case "call":
		s.call(w[1], w[2], w[3], m["with"])
	case "ringers":
		for i := range int(testscript.Num(w[1])) {
			c, err := net.Dial("tcp", s.calls)
			if err != nil {
				s.fail("%v", err)
				return
			}
			s.ringers = append(s.ringers, c)
			io.WriteString(c, "POST /control/out-of-service HTTP/1.1\r\nHost"[:i%40])
		}
	case "settings":
		if !strings.Contains(s.settings, w[1]) {
			s.fail("the settings lack %s", w[1])
		}
		s.settings = strings.Replace(s.settings, w[1], w[2], 1)
	case "watch":
		s.watch = w[1]
	case "pause":
		time.Sleep(time.Duration(testscript.Num(w[1])) * time.Millisecond)
	case "expect":
		s.expect(w[1], w[2], int(testscript.Num(w[3])))
	case "stop":
		s.signals <- syscall.SIGTERM
	case "crowd":
		for i := range int(testscript.Num(w[1])) {
			name := fmt.Sprint("crowd", i+int(testscript.Num(m["from"])))
			s.Step(line, []string{name, "ping"})
			s.Step(line, []string{name, "gets", "pong"})
		}
	case "mutes":
		for i := range int(testscript.Num(w[1])) {
			s.Step(line, []string{fmt.Sprint("mute", i), "raw"})
		}
	case "running":
		if len(s.ended) > 0 {
			s.fail("has ended")
		}
	case "stopped":
		select {
		case <-s.ended:
			s.signals = nil
		case <-time.After(3 * time.Second):
			s.fail("still running")
		}
	default:
		c := s.clients[w[0]]
		if c == nil {
			conn, err := net.Dial("tcp", s.addr)
			if err != nil {
				s.fail("%v", err)
				return
			}
			c = &caller{conn: conn, in: bufio.NewReader(conn), name: w[0]}
			s.clients[w[0]] = c
		}
		if err := c.step(w[1:], m); err != nil {
			s.fail("%v", err)
		}
	}
}

// call plays an operator, who waits for a second at most.
func (s *stage) call(method, path, want, with string) {
	for range 200 { // it starts, and is ready after a second at the latest
		if path != "/control/ready" || want != "200" || s.status(method, path, with) == want {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if got := s.status(method, path, with); got != want {
		s.fail("%s %s: %s, not %s", method, path, got, want)
	}
}

func (s *stage) status(method, path, with string) string {
	c, err := net.DialTimeout("tcp", s.calls, time.Second)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	if with == "garbage" {
		io.WriteString(c, "\x00\x01 what\r\n\r\n")
	} else {
		n := int(testscript.Num(with))
		fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: here\r\nContent-Length: %d\r\n\r\n%s", method, path, n, strings.Repeat("x", n))
	}
	head, err := bufio.NewReader(c).ReadString('\n')
	if w := strings.Fields(head); len(w) > 1 {
		return w[1]
	}
	return fmt.Sprintf("%q (%v)", head, err)
}

func (s *stage) End() {
	for _, c := range s.ringers {
		c.Close()
	}
	for _, c := range s.clients {
		c.conn.Close()
	}
	if s.signals == nil || s.addr == "" {
		return
	}
	s.signals <- syscall.SIGTERM
	if err := <-s.ended; err != nil {
		s.fail("%v", err)
	}
}

// target is a line of the list.
func (s *stage) target(word string) emulator.Row {
	name, status, _ := strings.Cut(word, ":")
	if status == "" {
		status = "active"
	}
	row := emulator.Row{Name: name, Address: s.ip + ":1", Zone: "a", Kind: "std", Status: status}
	if name[0] == 'o' {
		row.Kind = "origin"
	}
	if n := s.nodes[name]; n != nil {
		row.Address = n.Addr(0)
	}
	return row
}

func (s *stage) say(words []string) {
	var rows []emulator.Row
	for _, w := range words {
		rows = append(rows, s.target(w))
	}
	s.lists.Say(rows...)
}

// discovery starts at an address of its own.
func (s *stage) discovery() (*http.Server, string) {
	server, addr, err := s.lists.Listen(s.ip)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { server.Close() })
	return server, addr
}

// ready settles where a proxy is to be, and what it is told.
func (s *stage) ready(known string) {
	s.now, s.watched = s.discovery()
	s.addr, s.calls, s.shared = freeAddr(s.t, s.ip), freeAddr(s.t, s.ip), s.t.TempDir()
	list := "null"
	if known != "" {
		var rows []string
		for _, n := range strings.Split(known, ",") {
			rows = append(rows, s.target(n).String())
		}
		list = `{"index":1,"snapshot":true,"endpoints":[` + strings.Join(rows, ",") + `]}`
	}
	sizes := []string{}
	for k, v := range s.limits {
		sizes = append(sizes, fmt.Sprintf("%q:%s", k, v))
	}
	s.file = filepath.Join(s.t.TempDir(), "config.json")
	s.text = fmt.Sprintf(`{"name":"n1","listen":%q,"management":%q,"discovery":%q,"seed":"8c1f30d27a5be964","limits":{%s},"known":%s,"settings":%s,"watch":%s}`,
		s.addr, s.calls, s.watched, strings.Join(sizes, ","), list, s.settings, s.watch)
	if err := os.WriteFile(s.file, []byte(s.text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

func (s *stage) start(known string) {
	s.ready(known)
	s.run()
	for range 100 { // until it listens
		if c, err := net.Dial("tcp", s.addr); err == nil {
			c.Close()
			if s.lists.Mood() == "" { // until the list has come, or the first exchange would find no node
				s.call("GET", "/control/ready", "200", "")
			}
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Fatal("the proxy does not listen")
}

// run starts a process.
func (s *stage) run() {
	read := func() (*Place, error) { return Read(s.file, Place{Management: s.calls, Shared: s.shared}) }
	p, err := read()
	if err != nil {
		s.t.Fatal(err)
	}
	go func(ended chan<- error, signals <-chan os.Signal) {
		ended <- Serve(p, read, zaptest.NewLogger(s.t, zaptest.Level(zap.ErrorLevel)), signals)
	}(s.ended, s.signals)
}

func (s *stage) replace() {
	ended, signals := s.ended, s.signals
	s.ended, s.signals, s.calls = make(chan error, 1), make(chan os.Signal, 1), freeAddr(s.t, s.ip)
	s.run()
	for range 100 {
		if c, err := net.Dial("tcp", s.calls); err == nil {
			c.Close()
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.call("GET", "/control/ready", "200", "")
	signals <- syscall.SIGTERM
	select {
	case err := <-ended:
		if err != nil {
			s.fail("%v", err)
		}
	case <-time.After(3 * time.Second):
		s.fail("still running")
	}
}

func freeAddr(t *testing.T, ip string) string {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

const settingsJSON = `{"replicas-of-me":1,"limits":{"max-upstream-tries":3,"may-cancel":true,"conn-idle":15000,
"connect-timeout":250,"retry-after":true,"max-retry-after":1000},"tick":5,"shapes":["std","origin"],
"rules":{"cold":8000,"fall":3000,"cold-from":0.3,"fall-multiple":3},"family-info":{"mode":"aside","origin-kind":1},
"routes":[{"name":"read","latency-objective":600,"overall-timeout":1200,"value":5,"effect":"pure"},
{"name":"put","latency-objective":600,"overall-timeout":1200,"value":5,"effect":"token","group":"all","dedup-window":6000}]}`

func (s *stage) expect(what, op string, want int) {
	var got int
	var last string
	for range 200 {
		if n := s.nodes[what]; n != nil {
			got = int(n.Taken.Load())
		} else if what == "calls" {
			got = int(s.lists.Calls.Load())
		} else if c, err := net.Dial("tcp", s.addr); err == nil {
			fmt.Fprint(c, "*1\r\n$4\r\nINFO\r\n")
			_, text, err := emulator.Answer(bufio.NewReader(c))
			c.Close()
			last = text
			_, after, ok := strings.Cut("\n"+text, "\n"+what+" ")
			if err != nil || !ok {
				s.fail("no counter %s in %q (%v)", what, text, err)
				return
			}
			word, _, _ := strings.Cut(after, "\n")
			got = int(testscript.Num(word))
		}
		if testscript.Holds(got, op, want) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.fail("%s is %d, not %s %d; %s", what, got, op, want, strings.ReplaceAll(last, "\n", " "))
}

// caller is a client.
type caller struct {
	conn net.Conn
	in   *bufio.Reader
	name string
	sent int
	got  int // answers so far; the ids count along
}

func (c *caller) step(w []string, m map[string]string) error {
	c.conn.SetDeadline(time.Now().Add(8 * time.Second))
	switch w[0] {
	case "get", "set":
		wait := m["wait"]
		if wait == "" {
			wait = "1200"
		}
		for i := range max(int(testscript.Num(m["times"])), 1) {
			c.sent++
			words := []string{"KV.GET", fmt.Sprint(w[1], i), fmt.Sprint(c.name, c.sent), "c=read,t=x,d=" + wait}
			if w[0] == "set" {
				words[0], words[3] = "KV.SET", "c=put,t=x,d="+wait+",k=mark"
				words = append(words, strings.Repeat("v", int(testscript.Num(m["size"]))))
			}
			if err := c.write(words); err != nil {
				return err
			}
		}
	case "ping":
		for range max(int(testscript.Num(m["times"])), 1) {
			c.sent++
			if err := c.write([]string{"PING"}); err != nil {
				return err
			}
		}
	case "raw":
		_, err := io.WriteString(c.conn, strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace(strings.Join(w[1:], " ")))
		return err
	case "leaves":
		return c.conn.Close()
	case "gets":
		for range max(int(testscript.Num(m["times"])), 1) {
			if err := c.gets(w[1], m); err != nil {
				return err
			}
		}
	default:
		return fmt.Errorf("unknown word %q", w[0])
	}
	return nil
}

func (c *caller) write(words []string) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	_, err := c.conn.Write(b.Bytes())
	return err
}

func (c *caller) gets(want string, m map[string]string) error {
	if want == "begun" {
		c.conn.SetReadDeadline(time.Now().Add(time.Duration(testscript.Num(m["within"])) * time.Millisecond))
		_, err := c.in.Peek(1000)
		return err
	}
	if want == "nothing" {
		c.conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if b, err := c.in.Peek(1); err == nil || len(b) > 0 {
			return fmt.Errorf("something came: %q", b)
		}
		return nil
	}
	head, body, err := emulator.Answer(c.in)
	if want == "closed" {
		if err == nil {
			return fmt.Errorf("came %q", head)
		}
		return nil
	}
	if err != nil {
		return err
	}
	c.got++
	kind := "error"
	switch {
	case head[0] == '$':
		kind = "value"
		// what counts is that it was made for this exchange, and by whom
		if from, id, _ := strings.Cut(strings.TrimRight(body, "."), ":"); id != fmt.Sprint(c.name, c.got) ||
			m["from"] != "" && m["from"] != from {
			return fmt.Errorf("a value of %q, not for %s%d", body, c.name, c.got)
		}
	case head == "+PONG":
		kind = "pong"
	case head == "-BUSY":
		kind = "busy-at-will" // when to come back is not told
	case strings.HasPrefix(head, "-BUSY "):
		if n, err := strconv.Atoi(head[6:]); err != nil || n < 1 || n > 1000 {
			return fmt.Errorf("odd advice %q", head)
		}
		kind = "busy"
	}
	if kind != want {
		return fmt.Errorf("came %q, not %s", head, want)
	}
	return nil
}
