package hotrestart

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"woodproxy/internal/wire"

	"go.uber.org/zap"
)

// Two versions of the program meet during a hot restart, so that what goes over the socket has to stay as it is. In these
// tests one side is the program and the other a raw peer that speaks the bytes of the golden files.

const (
	goldenListen = "10.0.0.4:6379"                   // the listen address in the golden files
	goldenSocket = "woodproxy-bf32b290594ad81b.sock" // the name of its socket
	rawTimeout   = 5 * time.Second                   // for all that a raw peer does
)

// goldenList is a list of endpoints as a router hands it over.
func goldenList() []byte {
	return wire.AppendTargets(nil, []wire.Target{
		{Name: "cache-1", Address: "10.0.1.1:7001", Zone: "north", Kind: "std", Cell: 3, Ready: true, Weight: 1.25, Since: 1700000000123},
		{Name: "cache-2", Address: "10.0.1.2:7001", Zone: "<a&b>", Kind: "std", Weight: 0.5},
		{Name: "cache-3", Address: "10.0.1.3:7001", Zone: "south", Kind: "origin", Gone: true},
	})
}

func tcpListener(t *testing.T) *net.TCPListener {
	t.Helper()
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// openEstate starts the old process's side. The channel receives how many processes hold the listener and how many serve.
func openEstate(t *testing.T, dir, listen string, ln *net.TCPListener, list []byte) <-chan [2]int {
	t.Helper()
	counts := make(chan [2]int, 8)
	estate := New(dir, listen, ln, func() []byte { return list },
		func(holding, serving int) { counts <- [2]int{holding, serving} }, zap.NewNop())
	if err := estate.Open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(estate.Close)
	return counts
}

func expectCounts(t *testing.T, counts <-chan [2]int, holding, serving int) {
	t.Helper()
	select {
	case got := <-counts:
		if want := [2]int{holding, serving}; got != want {
			t.Errorf("holding and serving: %v, want %v", got, want)
		}
	case <-time.After(rawTimeout):
		t.Errorf("holding and serving: nothing reported, want %d and %d", holding, serving)
	}
}

// dialRaw connects a raw new process to the old process's socket.
func dialRaw(t *testing.T, dir string) *net.UnixConn {
	t.Helper()
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: filepath.Join(dir, goldenSocket), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(rawTimeout))
	return conn
}

// listenRaw opens the socket of a raw old process.
func listenRaw(t *testing.T, dir string) *net.UnixListener {
	t.Helper()
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(dir, goldenSocket), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	ln.SetDeadline(time.Now().Add(rawTimeout))
	return ln
}

// receiveRawOffer reads one line and the listener that came with its first byte.
func receiveRawOffer(t *testing.T, conn *net.UnixConn) (string, net.Listener) {
	t.Helper()
	text, rights := make([]byte, 64<<10), make([]byte, 256)
	n, rightsLen, _, _, err := conn.ReadMsgUnix(text, rights)
	if err != nil {
		t.Fatal(err)
	}
	messages, err := syscall.ParseSocketControlMessage(rights[:rightsLen])
	if err != nil || len(messages) != 1 {
		t.Fatalf("%d control messages: %v", len(messages), err)
	}
	descriptors, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(descriptors) != 1 {
		t.Fatalf("%d descriptors: %v", len(descriptors), err)
	}
	file := os.NewFile(uintptr(descriptors[0]), "listener")
	defer file.Close()
	ln, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	offer := text[:n]
	for !bytes.HasSuffix(offer, []byte("\n")) {
		if n, err = conn.Read(text); err != nil {
			t.Fatal(err)
		}
		offer = append(offer[:len(offer):len(offer)], text[:n]...)
	}
	return string(offer), ln
}

// sendRawOffer writes a line with a listener at its first byte, as the old process does.
func sendRawOffer(conn *net.UnixConn, line string, ln *net.TCPListener) error {
	file, err := ln.File()
	if err != nil {
		return err
	}
	defer file.Close()
	_, _, err = conn.WriteMsgUnix([]byte(line), syscall.UnixRights(int(file.Fd())), nil)
	return err
}

// rawOldProcess is what a raw old process saw of one new process.
type rawOldProcess struct {
	hello string // up to the end of its line
	rest  string // until the connection's end
	err   error
}

// serveRaw accepts one new process, answers its hello with the offer and reads on until the connection ends. Without an
// offer it closes the connection.
func serveRaw(at *net.UnixListener, offer string, ln *net.TCPListener) <-chan rawOldProcess {
	seen := make(chan rawOldProcess, 1)
	go func() {
		var old rawOldProcess
		defer func() { seen <- old }()
		conn, err := at.AcceptUnix()
		if err != nil {
			old.err = err
			return
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(rawTimeout))
		in := bufio.NewReader(conn)
		if old.hello, old.err = in.ReadString('\n'); old.err != nil || offer == "" {
			return
		}
		if old.err = sendRawOffer(conn, offer, ln); old.err != nil {
			return
		}
		rest, err := io.ReadAll(in)
		old.rest, old.err = string(rest), err
	}()
	return seen
}

// The socket's name depends on the listen address alone, and only the process's user may connect.
func TestSocketNames(t *testing.T) {
	var names strings.Builder
	for _, listen := range []string{goldenListen, ":6379", "[::1]:6379", "127.0.0.1:26379"} {
		dir := t.TempDir()
		openEstate(t, dir, listen, tcpListener(t), nil)
		entries, err := os.ReadDir(dir)
		if err != nil || len(entries) != 1 {
			t.Fatalf("%d files in the directory: %v", len(entries), err)
		}
		info, err := entries[0].Info()
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&names, "%s: %s %v\n", listen, entries[0].Name(), info.Mode())
	}
	checkGolden(t, "socket_names.golden", names.String())
	if line := goldenListen + ": " + goldenSocket + " "; !strings.HasPrefix(readTestdata(t, "socket_names.golden"), line) {
		t.Errorf("the golden file does not begin with %q", line)
	}
}

// The new process speaks first, and says nothing before it has the offer.
func TestHelloBytes(t *testing.T) {
	dir := t.TempDir()
	seen := serveRaw(listenRaw(t, dir), "", nil)
	if _, err := Claim(dir, goldenListen); err == nil || errors.Is(err, ErrNobody) {
		t.Errorf("an old process that closes the connection: %v", err)
	}
	old := <-seen
	if old.err != nil {
		t.Fatal(old.err)
	}
	checkGolden(t, "hello.golden", old.hello)
}

// The old process answers a hello with one line, which carries the listener, and writes nothing more.
func TestOfferBytes(t *testing.T) {
	for _, c := range []struct {
		golden string
		list   []byte
	}{
		{"offer_list.golden", goldenList()},
		{"offer_null_list.golden", []byte("null")},
	} {
		dir, ln := t.TempDir(), tcpListener(t)
		counts := openEstate(t, dir, goldenListen, ln, c.list)
		conn := dialRaw(t, dir)
		io.WriteString(conn, readTestdata(t, "hello.golden"))
		offer, received := receiveRawOffer(t, conn)
		checkGolden(t, c.golden, offer)
		if received.Addr().String() != ln.Addr().String() {
			t.Errorf("%s: a listener at %v, want %v", c.golden, received.Addr(), ln.Addr())
		}
		expectCounts(t, counts, 1, 0)
		conn.CloseWrite()
		if rest, err := io.ReadAll(conn); err != nil || len(rest) > 0 {
			t.Errorf("%s: %q follows the offer: %v", c.golden, rest, err)
		}
		expectCounts(t, counts, 0, 0)
	}
}

// The new process takes list and listener from the offer, says once that it serves, and writes nothing more.
func TestServingBytes(t *testing.T) {
	for _, c := range []struct {
		golden string
		list   []byte
	}{
		{"offer_list.golden", goldenList()},
		{"offer_null_list.golden", nil},
	} {
		dir, ln := t.TempDir(), tcpListener(t)
		seen := serveRaw(listenRaw(t, dir), readTestdata(t, c.golden), ln)
		before, err := Claim(dir, goldenListen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { before.Listener.Close() })
		if before.Listener.Addr().String() != ln.Addr().String() {
			t.Errorf("%s: a listener at %v, want %v", c.golden, before.Listener.Addr(), ln.Addr())
		}
		if list := unescapeHTML(before.List); !bytes.Equal(list, c.list) || (before.List == nil) != (c.list == nil) {
			t.Errorf("%s: list %q, want %q", c.golden, list, c.list)
		}
		if err := before.Serving(); err != nil {
			t.Error(err)
		}
		before.Abandon()
		old := <-seen
		if old.err != nil {
			t.Fatal(old.err)
		}
		if hello := readTestdata(t, "hello.golden"); old.hello != hello {
			t.Errorf("%s: hello %q, want %q", c.golden, old.hello, hello)
		}
		checkGolden(t, "serving.golden", old.rest)
	}
}

// unescapeHTML takes back what JSON in the offer has escaped of the list.
func unescapeHTML(list []byte) []byte {
	for _, c := range [][2]string{{`\u003c`, "<"}, {`\u003e`, ">"}, {`\u0026`, "&"}} {
		list = bytes.ReplaceAll(list, []byte(c[0]), []byte(c[1]))
	}
	return list
}

// The old process takes the golden word that the new one serves, and tells the end of it by the connection's end.
func TestServingIsUnderstood(t *testing.T) {
	dir := t.TempDir()
	counts := openEstate(t, dir, goldenListen, tcpListener(t), []byte("null"))
	conn := dialRaw(t, dir)
	io.WriteString(conn, readTestdata(t, "hello.golden"))
	receiveRawOffer(t, conn)
	expectCounts(t, counts, 1, 0)
	io.WriteString(conn, readTestdata(t, "serving.golden"))
	expectCounts(t, counts, 1, 1)
	conn.CloseWrite()
	if rest, err := io.ReadAll(conn); err != nil || len(rest) > 0 {
		t.Errorf("%q follows the offer: %v", rest, err)
	}
	expectCounts(t, counts, 0, 0)
}

// The new process waits until the old one's end, which the connection's end tells.
func TestOldProcessEndIsUnderstood(t *testing.T) {
	dir, ln := t.TempDir(), tcpListener(t)
	at := listenRaw(t, dir)
	accepted := make(chan *net.UnixConn, 1)
	offer := readTestdata(t, "offer_null_list.golden")
	go func() {
		conn, err := at.AcceptUnix()
		if err != nil {
			return
		}
		bufio.NewReader(conn).ReadString('\n')
		sendRawOffer(conn, offer, ln)
		accepted <- conn
	}()
	before, err := Claim(dir, goldenListen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { before.Listener.Close() })
	ended := make(chan struct{})
	go func() {
		before.Wait()
		close(ended)
	}()
	conn := <-accepted
	select {
	case <-ended:
		t.Error("told the old process's end before it")
	case <-time.After(50 * time.Millisecond):
	}
	conn.Close()
	select {
	case <-ended:
	case <-time.After(rawTimeout):
		t.Error("not told the old process's end")
	}
}

// Keys that a later version may add to a message are skipped on both sides.
func TestUnknownKeysAreSkipped(t *testing.T) {
	addKey := func(line string) string { return strings.Replace(line, "{", `{"later":{"key":[1]},`, 1) }
	dir := t.TempDir()
	openEstate(t, dir, goldenListen, tcpListener(t), goldenList())
	conn := dialRaw(t, dir)
	io.WriteString(conn, addKey(readTestdata(t, "hello.golden")))
	if offer, _ := receiveRawOffer(t, conn); offer != readTestdata(t, "offer_list.golden") {
		t.Errorf("answered with %q", offer)
	}

	other := t.TempDir()
	serveRaw(listenRaw(t, other), addKey(readTestdata(t, "offer_null_list.golden")), tcpListener(t))
	before, err := Claim(other, goldenListen)
	if err != nil {
		t.Fatal(err)
	}
	before.Listener.Close()
	before.Abandon()
}

// replaceOnce replaces a part that has to be there.
func replaceOnce(t *testing.T, text, from, to string) string {
	t.Helper()
	if strings.Count(text, from) != 1 {
		t.Fatalf("%q is not once in %q", from, text)
	}
	return strings.Replace(text, from, to, 1)
}

// A hello of another version or for another address ends the connection without a byte.
func TestHelloRefused(t *testing.T) {
	dir := t.TempDir()
	openEstate(t, dir, goldenListen, tcpListener(t), []byte("null"))
	hello := readTestdata(t, "hello.golden")
	for _, refused := range []string{
		replaceOnce(t, hello, `"woodproxy_handover":1`, `"woodproxy_handover":2`),
		replaceOnce(t, hello, `"woodproxy_handover":1`, `"woodproxy_handover":0`),
		replaceOnce(t, hello, `"woodproxy_handover":1`, `"woodproxy_handover":"1"`),
		replaceOnce(t, hello, `"woodproxy_handover"`, `"handover"`),
		replaceOnce(t, hello, `"listen"`, `"address"`),
		replaceOnce(t, hello, goldenListen, "10.0.0.5:6379"),
	} {
		conn := dialRaw(t, dir)
		io.WriteString(conn, refused)
		if answer, err := io.ReadAll(conn); err != nil || len(answer) > 0 {
			t.Errorf("%q is answered with %q: %v", refused, answer, err)
		}
	}
}

// An offer of another version or for another address is an error that names both, and not the error that there is no
// old process.
func TestOfferRefused(t *testing.T) {
	offer := readTestdata(t, "offer_null_list.golden")
	for _, c := range []struct{ refused, version, listen string }{
		{replaceOnce(t, offer, `"woodproxy_handover":1`, `"woodproxy_handover":2`), "version 2", goldenListen},
		{replaceOnce(t, offer, `"woodproxy_handover"`, `"handover"`), "version 0", goldenListen},
		{replaceOnce(t, offer, goldenListen, "10.0.0.5:6379"), "version 1", "10.0.0.5:6379"},
	} {
		dir := t.TempDir()
		seen := serveRaw(listenRaw(t, dir), c.refused, tcpListener(t))
		_, err := Claim(dir, goldenListen)
		if err == nil || errors.Is(err, ErrNobody) || !strings.Contains(err.Error(), c.version) || !strings.Contains(err.Error(), c.listen) {
			t.Errorf("%q: error %v", c.refused, err)
		}
		if old := <-seen; old.err != nil || old.rest != "" {
			t.Errorf("%q: the new process goes on with %q: %v", c.refused, old.rest, old.err)
		}
	}
}
