package main_test

import (
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"woodproxy/internal/wire"
)

// Times of cliConfig's route "read".
const (
	readObjective = 600 * time.Millisecond
	readTimeout   = 1200 * time.Millisecond
)

const (
	// Times between the head of a response and its value: the value begins after the latency objective, or after the
	// client's deadline.
	lateBody        = 900 * time.Millisecond
	veryLateBody    = 1500 * time.Millisecond
	longValueLength = 200_000 // bytes
	// timeSlack is the slack of the protocol's time limits on real sockets.
	timeSlack = 50 * time.Millisecond
)

var longValue = strings.Repeat("v", longValueLength)

// respondLate writes a response whose value begins some time after its head.
func respondLate(delay time.Duration, head, tail string) func(net.Conn, serverCommand) {
	return func(conn net.Conn, _ serverCommand) {
		writeAll(conn, head)
		time.Sleep(delay)
		writeAll(conn, longValue, tail)
	}
}

func respondMiss(conn net.Conn, _ serverCommand) { writeAll(conn, cacheMiss) }

func respondUnprocessed(conn net.Conn, _ serverCommand) {
	writeAll(conn, "HTTP/1.1 503 Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
}

// hedgingConfig returns cliConfig with the known list, and with hedging if it is set.
func hedgingConfig(hedging bool, servers ...*scriptedServer) string {
	nodes := make([]listedNode, len(servers))
	for i, server := range servers {
		nodes[i] = server.listedNode
	}
	config := strings.Replace(cliConfig, `"seed"`, `"known":`+knownList(nodes)+`,"seed"`, 1)
	return strings.Replace(config, `"may-cancel":true`, fmt.Sprintf(`"parallel-tries":%v,"may-cancel":true`, hedging), 1)
}

// A long value whose head arrives in time and whose first byte arrives after the latency objective was cut off: the request
// was rejected while its server was still writing. It must be delivered.
func TestLongValueBehindLateBodyIsDelivered(t *testing.T) {
	program := filepath.Join(buildPrograms(t), "woodproxy")
	fromCache := func(delay time.Duration) func(net.Conn, serverCommand) {
		return respondLate(delay, cacheHead(longValueLength), cacheTail)
	}
	fromOrigin := func(delay time.Duration) func(net.Conn, serverCommand) {
		return respondLate(delay, originHead(longValueLength), "")
	}
	for name, test := range map[string]struct {
		hedging       bool
		cache, origin func(net.Conn, serverCommand)
	}{
		"cache":                               {false, fromCache(lateBody), respondUnprocessed},
		"cache, after the deadline":           {false, fromCache(veryLateBody), respondUnprocessed},
		"origin":                              {false, respondMiss, fromOrigin(lateBody)},
		"origin, after the deadline":          {false, respondMiss, fromOrigin(veryLateBody)},
		"cache and hedge":                     {true, fromCache(lateBody), fromOrigin(lateBody)},
		"cache and hedge, after the deadline": {true, fromCache(veryLateBody), fromOrigin(veryLateBody)},
		"cache, hedge rejected":               {true, fromCache(lateBody), respondUnprocessed},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cache, origin := startCache(t, test.cache), startOrigin(t, test.origin)
			p := startConfiguredProxy(t, program, hedgingConfig(test.hedging, cache, origin), noFeatures)
			p.awaitReady(t)
			reply := dialProxy(t, p.clients).roundTrip(encodeRead("k", "id1", "read", readTimeout))
			if reply.err != nil || reply.value != longValue || reply.firstAt > readTimeout+timeSlack {
				t.Errorf("got %q, %d bytes, error %v, first byte after %v, end after %v; want the complete value, begun before the deadline",
					reply.head, len(reply.value), reply.err, reply.firstAt, reply.endAt)
			}
		})
	}
}

// slowUploadLength is the length in bytes of a value that a server reads too slowly to receive it in time.
const slowUploadLength = 1 << 20

// readSlowly reads 8 KiB every 100 ms from a connection until it ends.
func readSlowly(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetReadBuffer(8 << 10) // with a larger buffer the server would seem to read faster
	piece := make([]byte, 8<<10)
	for {
		if _, err := conn.Read(piece); err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Where a server reads a large request slowly, the client must get its final reply in time all the same.
func TestReplyIsInTimeWhereServerReadsSlowly(t *testing.T) {
	program := filepath.Join(buildPrograms(t), "woodproxy")
	origin := &scriptedServer{listedNode: listedNode{name: "origin", zone: "a", kind: "origin", addr: acceptConns(t, readSlowly)}}
	cache := startCache(t, respondMiss)
	p := startConfiguredProxy(t, program, hedgingConfig(false, cache, origin), noFeatures)
	p.awaitReady(t)
	for _, wait := range []time.Duration{300 * time.Millisecond, readTimeout} {
		facts := fmt.Sprintf("c=put,t=x,d=%d,k=k%d", wait.Milliseconds(), wait.Milliseconds())
		id := fmt.Sprint("slow", wait)
		command := wire.AppendCommand(nil, []byte("KV.SET"), []byte("k"), []byte(id), []byte(facts), slowUploadLength)
		command = append(append(command, strings.Repeat("v", slowUploadLength)...), "\r\n"...)
		reply := dialProxy(t, p.clients).roundTrip(command)
		t.Logf("%v: %q after %v", wait, reply.head, reply.endAt)
		if reply.err != nil || reply.endAt > wait+timeSlack {
			t.Errorf("wait %v: got %q after %v, error %v; want a reply in time", wait, reply.head, reply.endAt, reply.err)
		}
	}
}

// respondWithoutLength writes a response of unknown length in pieces. The last one arrives after the latency objective and
// before the client's deadline.
func respondWithoutLength(chunked bool) func(net.Conn, serverCommand) {
	return func(conn net.Conn, _ serverCommand) {
		const pieces = 9
		head := "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
		if chunked {
			head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		}
		writeAll(conn, head)
		for i := range pieces {
			time.Sleep(lateBody / pieces)
			piece := longValue[longValueLength*i/pieces : longValueLength*(i+1)/pieces]
			if chunked {
				piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
			}
			writeAll(conn, piece)
		}
		if chunked {
			writeAll(conn, "0\r\n\r\n")
		}
		_ = conn.Close() // the proxy may have closed it
	}
}

// A response of the origin without a length was cut off at the latency objective while the origin was still writing it. It
// must be delivered if it is complete before the client's deadline.
func TestValueOfUnknownLengthIsDelivered(t *testing.T) {
	program := filepath.Join(buildPrograms(t), "woodproxy")
	for name, chunked := range map[string]bool{"chunked": true, "ends with the connection": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cache, origin := startCache(t, respondMiss), startOrigin(t, respondWithoutLength(chunked))
			p := startConfiguredProxy(t, program, hedgingConfig(false, cache, origin), noFeatures)
			p.awaitReady(t)
			reply := dialProxy(t, p.clients).roundTrip(encodeRead("k", "id1", "read", readTimeout))
			if reply.err != nil || reply.value != longValue {
				t.Errorf("got %q, %d bytes, error %v, end after %v; want the complete value", reply.head, len(reply.value), reply.err, reply.endAt)
			}
		})
	}
}
