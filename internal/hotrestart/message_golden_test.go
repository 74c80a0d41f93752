package hotrestart

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"woodproxy/internal/goldentest"

	"woodproxy/internal/wire"
)

// Two versions of the program communicate during a hot restart, so the bytes on the socket must not change. In these tests
// one side is the code of the package and the other is a raw peer, which sends the bytes of the golden files.

// goldenSocket is the file name of the socket for testListen.
const goldenSocket = "woodproxy-bf32b290594ad81b.sock"

// goldenList returns an endpoint list as the predecessor sends it.
func goldenList() []byte {
	return wire.AppendEndpointList(nil, []wire.Endpoint{
		{Name: "cache-1", Address: "10.0.1.1:7001", Zone: "north", Kind: "std", Cell: 3, Ready: true, Weight: 1.25, StartedAtUnixMilli: 1700000000123},
		{Name: "cache-2", Address: "10.0.1.2:7001", Zone: "<a&b>", Kind: "std", Weight: 0.5},
		{Name: "cache-3", Address: "10.0.1.3:7001", Zone: "south", Kind: "origin", Departed: true},
	})
}

// TestSocketNames pins the names and the mode of the sockets. The name must depend on the listen address alone, and only the
// user of the process may connect.
func TestSocketNames(t *testing.T) {
	var names strings.Builder
	for _, listen := range []string{testListen, ":6379", "[::1]:6379", "127.0.0.1:26379"} {
		dir := t.TempDir()
		openServer(t, dir, listen, tcpListener(t), nil)
		entries, err := os.ReadDir(dir)
		if err != nil || len(entries) != 1 {
			t.Fatalf("got %d files in the directory, want 1: %v", len(entries), err)
		}
		info, err := entries[0].Info()
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&names, "%s: %s %v\n", listen, entries[0].Name(), info.Mode())
	}
	goldentest.Text(t, "socket_names.golden", names.String())
	if line := testListen + ": " + goldenSocket + " "; !strings.HasPrefix(goldentest.Read(t, "socket_names.golden"), line) {
		t.Errorf("golden file does not begin with %q", line)
	}
}

// TestHelloBytes pins the hello, and checks that TakeOver fails if the predecessor closes the connection without an offer.
func TestHelloBytes(t *testing.T) {
	dir := t.TempDir()
	seen := serveRaw(listenRaw(t, dir), "", nil)
	if _, err := TakeOver(dir, testListen); err == nil || errors.Is(err, ErrNoPredecessor) {
		t.Errorf("TakeOver from a predecessor that closes the connection: error %v, want one other than ErrNoPredecessor", err)
	}
	predecessor := <-seen
	if predecessor.err != nil {
		t.Fatal(predecessor.err)
	}
	goldentest.Text(t, "hello.golden", predecessor.hello)
}

// TestOfferBytes pins the offer: one line that is passed with the listener. The predecessor writes nothing after it.
func TestOfferBytes(t *testing.T) {
	for _, c := range []struct {
		name, golden string
		list         []byte
	}{
		{name: "list", golden: "offer_list.golden", list: goldenList()},
		{name: "no list", golden: "offer_null_list.golden", list: []byte(nullList)},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir, listener := t.TempDir(), tcpListener(t)
			_, counts := openServer(t, dir, testListen, listener, c.list)
			conn := dialRaw(t, dir)
			send(t, conn, goldentest.Read(t, "hello.golden"))
			offer, received := receiveRawOffer(t, conn)
			goldentest.Text(t, c.golden, offer)
			if received.Addr().String() != listener.Addr().String() {
				t.Errorf("listener at %v, want %v", received.Addr(), listener.Addr())
			}
			expectCounts(t, counts, successorCounts{holding: 1})
			closeWrite(t, conn)
			if rest, err := io.ReadAll(conn); err != nil || len(rest) > 0 {
				t.Errorf("%q follows the offer: %v", rest, err)
			}
			expectCounts(t, counts, successorCounts{})
		})
	}
}

// TestServingBytes checks that the successor takes the listener and the endpoint list from the golden offer, and pins the
// serving message. The successor writes nothing after it.
func TestServingBytes(t *testing.T) {
	for _, c := range []struct {
		name, golden string
		list         []byte
	}{
		{name: "list", golden: "offer_list.golden", list: goldenList()},
		{name: "no list", golden: "offer_null_list.golden", list: nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir, listener := t.TempDir(), tcpListener(t)
			seen := serveRaw(listenRaw(t, dir), goldentest.Read(t, c.golden), listener)
			predecessor := takeOver(t, dir)
			if predecessor.Listener.Addr().String() != listener.Addr().String() {
				t.Errorf("listener at %v, want %v", predecessor.Listener.Addr(), listener.Addr())
			}
			if list := unescapeHTML(predecessor.EndpointList); !bytes.Equal(list, c.list) || (predecessor.EndpointList == nil) != (c.list == nil) {
				t.Errorf("endpoint list %q, want %q", list, c.list)
			}
			if err := predecessor.NotifyServing(); err != nil {
				t.Error(err)
			}
			predecessor.Disconnect()
			raw := <-seen
			if raw.err != nil {
				t.Fatal(raw.err)
			}
			if hello := goldentest.Read(t, "hello.golden"); raw.hello != hello {
				t.Errorf("hello %q, want %q", raw.hello, hello)
			}
			goldentest.Text(t, "serving.golden", raw.rest)
		})
	}
}

// unescapeHTML reverses the HTML escapes that json.Marshal adds to the endpoint list in an offer.
func unescapeHTML(list []byte) []byte {
	for _, c := range []struct{ escape, text string }{{`\u003c`, "<"}, {`\u003e`, ">"}, {`\u0026`, "&"}} {
		list = bytes.ReplaceAll(list, []byte(c.escape), []byte(c.text))
	}
	return list
}

// TestPredecessorReadsServingAndExit checks that the predecessor accepts the golden serving message, and detects the exit of
// the successor by the end of the connection.
func TestPredecessorReadsServingAndExit(t *testing.T) {
	dir := t.TempDir()
	_, counts := openServer(t, dir, testListen, tcpListener(t), []byte(nullList))
	conn := dialRaw(t, dir)
	send(t, conn, goldentest.Read(t, "hello.golden"))
	receiveRawOffer(t, conn)
	expectCounts(t, counts, successorCounts{holding: 1})
	send(t, conn, goldentest.Read(t, "serving.golden"))
	expectCounts(t, counts, successorCounts{holding: 1, serving: 1})
	closeWrite(t, conn)
	if rest, err := io.ReadAll(conn); err != nil || len(rest) > 0 {
		t.Errorf("%q follows the offer: %v", rest, err)
	}
	expectCounts(t, counts, successorCounts{})
}

// TestWaitForExitReturnsWhenConnectionEnds checks that WaitForExit blocks while the connection is open, and that the
// successor detects the exit of the predecessor by the end of the connection.
func TestWaitForExitReturnsWhenConnectionEnds(t *testing.T) {
	dir, listener := t.TempDir(), tcpListener(t)
	socket := listenRaw(t, dir)
	type accepted struct {
		conn *net.UnixConn
		err  error
	}
	replied := make(chan accepted, 1)
	offer := goldentest.Read(t, "offer_null_list.golden")
	go func() {
		conn, _, _, err := acceptRaw(socket)
		if err == nil {
			err = sendRawOffer(conn, offer, listener)
		}
		replied <- accepted{conn, err}
	}()
	exited := waitInBackground(takeOver(t, dir))
	raw := <-replied
	if raw.err != nil {
		t.Fatal(raw.err)
	}
	expectStillWaiting(t, exited)
	if err := raw.conn.Close(); err != nil {
		t.Error(err)
	}
	select {
	case <-exited:
	case <-time.After(rawTimeout):
		t.Error("WaitForExit did not return after the connection ended")
	}
}

// addUnknownKey adds a key to a message, as a later version of the program may do.
func addUnknownKey(line string) string {
	return strings.Replace(line, "{", `{"later":{"key":[1]},`, 1)
}

// TestUnknownKeysAreSkipped checks that both sides skip keys that a later version of the program may add to a message.
func TestUnknownKeysAreSkipped(t *testing.T) {
	t.Run("hello", func(t *testing.T) {
		dir := t.TempDir()
		openServer(t, dir, testListen, tcpListener(t), goldenList())
		conn := dialRaw(t, dir)
		send(t, conn, addUnknownKey(goldentest.Read(t, "hello.golden")))
		if offer, _ := receiveRawOffer(t, conn); offer != goldentest.Read(t, "offer_list.golden") {
			t.Errorf("offer %q, want the golden offer", offer)
		}
	})
	t.Run("offer", func(t *testing.T) {
		dir := t.TempDir()
		seen := serveRaw(listenRaw(t, dir), addUnknownKey(goldentest.Read(t, "offer_null_list.golden")), tcpListener(t))
		takeOver(t, dir).Disconnect()
		if raw := <-seen; raw.err != nil {
			t.Error(raw.err)
		}
	})
}

// replaceOnce replaces the only occurrence of from in text. It fails the test unless there is exactly one.
func replaceOnce(t *testing.T, text, from, to string) string {
	t.Helper()
	if strings.Count(text, from) != 1 {
		t.Fatalf("%q does not occur exactly once in %q", from, text)
	}
	return strings.Replace(text, from, to, 1)
}

// TestMismatchedHelloIsRefused checks that the predecessor closes the connection without a reply if the hello is of another
// protocol version or for another listen address.
func TestMismatchedHelloIsRefused(t *testing.T) {
	dir := t.TempDir()
	openServer(t, dir, testListen, tcpListener(t), []byte(nullList))
	const version = `"woodproxy_handover":1`
	for _, c := range []struct{ name, from, to string }{
		{"later version", version, `"woodproxy_handover":2`},
		{"version zero", version, `"woodproxy_handover":0`},
		{"version as text", version, `"woodproxy_handover":"1"`},
		{"no version", `"woodproxy_handover"`, `"handover"`},
		{"no address", `"listen"`, `"address"`},
		{"another address", testListen, "10.0.0.5:6379"},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := dialRaw(t, dir)
			send(t, conn, replaceOnce(t, goldentest.Read(t, "hello.golden"), c.from, c.to))
			if reply, err := io.ReadAll(conn); err != nil || len(reply) > 0 {
				t.Errorf("reply %q, want none: %v", reply, err)
			}
		})
	}
}

// TestMismatchedOfferIsRefused checks that TakeOver refuses an offer of another protocol version or for another listen
// address. The error must name the version and the address, and must not be ErrNoPredecessor.
func TestMismatchedOfferIsRefused(t *testing.T) {
	for _, c := range []struct{ name, from, to, version, listen string }{
		{"later version", `"woodproxy_handover":1`, `"woodproxy_handover":2`, "version 2", testListen},
		{"no version", `"woodproxy_handover"`, `"handover"`, "version 0", testListen},
		{"another address", testListen, "10.0.0.5:6379", "version 1", "10.0.0.5:6379"},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			offer := replaceOnce(t, goldentest.Read(t, "offer_null_list.golden"), c.from, c.to)
			seen := serveRaw(listenRaw(t, dir), offer, tcpListener(t))
			_, err := TakeOver(dir, testListen)
			if err == nil || errors.Is(err, ErrNoPredecessor) || !strings.Contains(err.Error(), c.version) || !strings.Contains(err.Error(), c.listen) {
				t.Errorf("TakeOver: error %v, want one that names %s for %s", err, c.version, c.listen)
			}
			if raw := <-seen; raw.err != nil || raw.rest != "" {
				t.Errorf("successor sent %q after the offer, want nothing: %v", raw.rest, raw.err)
			}
		})
	}
}
