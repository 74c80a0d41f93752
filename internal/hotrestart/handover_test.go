package hotrestart

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"
)

const addr = "10.0.0.4:6379"

func listen(t *testing.T) *net.TCPListener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.(*net.TCPListener)
}

// estate is a running process, and tells what it hears.
func estate(t *testing.T, dir string, ln *net.TCPListener, list string) (*Estate, chan [2]int) {
	heard := make(chan [2]int, 16)
	e := New(dir, addr, ln, func() []byte { return []byte(list) },
		func(heirs, serving int) { heard <- [2]int{heirs, serving} }, zaptest.NewLogger(t, zaptest.Level(zap.ErrorLevel)))
	if err := e.Open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e, heard
}

func hears(t *testing.T, heard chan [2]int, want [2]int) {
	t.Helper()
	select {
	case got := <-heard:
		if got != want {
			t.Errorf("heard %v, not %v", got, want)
		}
	case <-time.After(2 * time.Second):
		t.Errorf("heard nothing, not %v", want)
	}
}

// The listener is the same one: who waits in its queue when the first process closes it is let in by the second.
func TestQueueSurvives(t *testing.T) {
	dir := filepath.Join(t.TempDir(), strings.Repeat("d", 120)) // longer than a socket's name may be
	os.Mkdir(dir, 0o700)
	ln := listen(t)
	list := `{"rows":"` + strings.Repeat("x", 300_000) + `"}`
	e, heard := estate(t, dir, ln, list)
	waits, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer waits.Close()
	b, err := Claim(dir, addr)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Listener.Close()
	if string(b.List) != list {
		t.Errorf("a list of %d bytes", len(b.List))
	}
	hears(t, heard, [2]int{1, 0})
	if err := b.Serving(); err != nil {
		t.Error(err)
	}
	hears(t, heard, [2]int{1, 1})
	ln.Close()
	b.Listener.SetDeadline(time.Now().Add(time.Second))
	c, err := b.Listener.Accept()
	if err != nil || c.RemoteAddr().String() != waits.LocalAddr().String() {
		t.Fatal("who waited is not let in", err)
	}
	c.Close()
	gone := make(chan struct{})
	go func() { b.Wait(); close(gone) }()
	select {
	case <-gone:
		t.Error("the process before is there yet")
	case <-time.After(50 * time.Millisecond):
	}
	e.Close()
}

// A process that takes the listener and never serves, or dies, leaves the first one as it was: it can be replaced anew.
func TestHeirGoes(t *testing.T) {
	dir := t.TempDir()
	ln := listen(t)
	_, heard := estate(t, dir, ln, "null")
	for range 2 {
		b, err := Claim(dir, addr)
		if err != nil {
			t.Fatal(err)
		}
		if b.List != nil {
			t.Errorf("a list: %q", b.List)
		}
		hears(t, heard, [2]int{1, 0})
		second, _ := estate(t, dir, b.Listener, "null") // takes the place, and its end takes that away
		second.socket.mu.Lock()
		second.socket.listener.Close()
		second.socket.mu.Unlock()
		b.conn.Close()
		b.Listener.Close()
		hears(t, heard, [2]int{0, 0})
		time.Sleep(50 * time.Millisecond) // until the place is taken again
	}
}

// With nobody there, or a name that a process left behind when it was killed, there is nothing to take over.
func TestNobody(t *testing.T) {
	dir := t.TempDir()
	if _, err := Claim(dir, addr); !errors.Is(err, ErrNobody) {
		t.Error(err)
	}
	if _, err := Claim(filepath.Join(dir, "none"), addr); !errors.Is(err, ErrNobody) {
		t.Error(err)
	}
	e, _ := estate(t, dir, listen(t), "null")
	e.socket.mu.Lock()
	e.socket.listener.Close()
	e.socket.mu.Unlock()
	if _, err := os.Lstat(filepath.Join(dir, socketName(addr))); err != nil {
		t.Fatal(err)
	}
	if _, err := Claim(dir, addr); !errors.Is(err, ErrNobody) {
		t.Error(err)
	}
}

// What is foreign, torn, garbled, silent or of another version is refused, soon and on both sides.
func TestRefused(t *testing.T) {
	dir := t.TempDir()
	ln := listen(t)
	estate(t, dir, ln, "null")
	for _, text := range []string{
		"GET / HTTP/1.1\r\n\r\n", `{"woodproxy_handover":2,"listen":"` + addr + `"}` + "\n",
		`{"woodproxy_handover":1,"listen":"10.0.0.5:6379"}` + "\n", strings.Repeat("x", 9000), "",
	} {
		c, err := net.Dial("unix", filepath.Join(dir, socketName(addr)))
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, text)
		c.SetDeadline(time.Now().Add(2 * time.Second))
		if n, err := c.Read(make([]byte, 9)); n > 0 || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%.20q is answered with %d bytes: %v", text, n, err)
		}
		c.Close()
	}

	other := t.TempDir()
	at, err := net.Listen("unix", filepath.Join(other, socketName(addr)))
	if err != nil {
		t.Fatal(err)
	}
	defer at.Close()
	answers := make(chan func(c *net.UnixConn), 1)
	go func() {
		for answer := range answers {
			c, err := at.Accept()
			if err != nil {
				return
			}
			go func() { // or one that is silent for long would keep the next from its answer
				c.Read(make([]byte, 4096))
				answer(c.(*net.UnixConn))
			}()
		}
	}()
	with := func(text string, hold time.Duration) func(c *net.UnixConn) {
		return func(c *net.UnixConn) {
			if err := sendWithListener(c, []byte(text), ln); err != nil {
				t.Error(err)
			}
			time.Sleep(hold)
			c.Close()
		}
	}
	good, _ := json.Marshal(offer{newHello(addr), nil})
	for what, answer := range map[string]func(c *net.UnixConn){
		"silent":       func(c *net.UnixConn) { time.Sleep(2 * messageTimeout); c.Close() },
		"closed":       func(c *net.UnixConn) { c.Close() },
		"no listener":  func(c *net.UnixConn) { c.Write(append(good, '\n')); c.Close() },
		"torn":         with(string(good[:9]), 0),
		"stalls":       with(string(good[:9]), 2*messageTimeout),
		"garbled":      with("{]\n", 0),
		"another's":    with(`{"woodproxy_handover":1,"listen":"10.0.0.5:6379"}`+"\n", 0),
		"of a version": with(`{"woodproxy_handover":7,"listen":"`+addr+`"}`+"\n", 0),
	} {
		answers <- answer
		began := time.Now()
		if b, err := Claim(other, addr); err == nil || errors.Is(err, ErrNobody) {
			t.Errorf("%s: %+v %v", what, b, err)
		}
		if took := time.Since(began); took > 3*messageTimeout {
			t.Errorf("%s: refused after %v", what, took)
		}
	}
	close(answers)
}
