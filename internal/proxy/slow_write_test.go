package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"woodproxy/internal/wire"
)

// completeRequest is a request that an origin has received completely.
type completeRequest struct {
	wait time.Duration // wait in the request's facts
	at   time.Time     // time at which the last byte was received
}

// segmentSize is the TCP segment size of Ethernet, in bytes. The segments of the loopback interface are larger than the
// origin's read buffer: the kernel would send one every 200 ms, regardless of how fast the origin reads.
const segmentSize = 1460

// limitSegments limits the segments of a listening socket's connections to segmentSize.
func limitSegments(_, _ string, raw syscall.RawConn) error {
	var optionError error
	err := raw.Control(func(fd uintptr) {
		optionError = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentSize)
	})
	return errors.Join(err, optionError)
}

// pacedReader is a reader that takes the given time to read longValue bytes.
type pacedReader struct {
	input io.Reader
	time  time.Duration
}

func (r pacedReader) Read(p []byte) (int, error) {
	n, err := r.input.Read(p)
	time.Sleep(r.time * time.Duration(n) / longValue)
	return n, err
}

const longValue = 1 << 20 // bytes

// newPausingOrigin returns an origin that, on its first connection, pauses after the first byte of the request, and then
// takes readTime to read a long value. It responds to the requests that it has read and sends them to the returned
// channel.
func newPausingOrigin(t *testing.T, pause, readTime time.Duration) (*fakeNode, <-chan completeRequest) {
	t.Helper()
	received, first := make(chan completeRequest, 10), make(chan struct{}, 1)
	first <- struct{}{}
	return &fakeNode{addr: listenWith(t, net.ListenConfig{Control: limitSegments}, func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetReadBuffer(16 << 10) // if this fails, the larger buffer fails the test
		reader := bufio.NewReader(conn)
		select {
		case <-first:
			if _, err := reader.Peek(1); err != nil {
				return
			}
			time.Sleep(pause)
			reader = bufio.NewReader(pacedReader{reader, readTime})
		default:
		}
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			facts, err := wire.ParseFacts([]byte(req.Header.Get("X-Facts")))
			if err != nil {
				return
			}
			received <- completeRequest{time.Duration(facts.WaitMilliseconds) * time.Millisecond, time.Now()}
			if _, err := io.WriteString(conn, originValue("value")); err != nil {
				return
			}
		}
	})}, received
}

// A server reads a long value so slowly that, when the last byte is written, the deadline sent in the header is later
// than the client's. The proxy must not send the last byte, and must send the complete request again with the remaining
// time.
func TestSlowWriteOutdatesDeadline(t *testing.T) {
	const wait, slack = 8 * time.Second, 150 * time.Millisecond
	for _, test := range []struct{ pause, readTime time.Duration }{
		{0, 0},
		{300 * time.Millisecond, 0},
		{1200 * time.Millisecond, 0},
		{0, 6 * time.Second},
		{300 * time.Millisecond, 6 * time.Second},
		{1200 * time.Millisecond, 6 * time.Second},
	} {
		t.Run(fmt.Sprint(test.pause, test.readTime), func(t *testing.T) {
			origin, received := newPausingOrigin(t, test.pause, test.readTime)
			p := newTestProxy(t, 10, defaultSettings, newCache(t), origin)
			client, began := p.dial(), time.Now()
			send(t, client, setCommand("long", "c=put,t=x,d=8000,k=1", strings.Repeat("v", longValue)))
			sent := time.Now()
			if line, err := bufio.NewReader(client).ReadString('\n'); line != "$5\r\n" {
				t.Fatalf("got reply %q, error %v, want $5", line, err)
			}
			request := <-received
			if excess := request.at.Add(request.wait).Sub(sent.Add(wait)); excess > slack {
				t.Errorf("got a wait of %v in the request, which ends %v after the client's deadline", request.wait, excess)
			}
			if request.wait < (wait-request.at.Sub(began))/3 {
				t.Errorf("got a wait of %v in the request, want at least a third of the remaining %v", request.wait, wait-request.at.Sub(began))
			}
		})
	}
}
