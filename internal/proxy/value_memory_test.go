package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/wire"
)

const (
	longWrite = 4 << 20 // length in bytes of the values that the tests below write
	okReply   = "$2\r\nok\r\n"
)

// writeLongValue sends a long write on a new client connection, and returns when the origin has received it.
func writeLongValue(t *testing.T, p *testProxy, origin *fakeNode, id string) (client net.Conn, received receivedCommand) {
	t.Helper()
	client = p.dial()
	send(t, client, setCommand(id, longPut, strings.Repeat("v", longWrite)))
	return client, origin.next(t)
}

// The value of a write whose client has left must stay counted while an attempt holds it. Otherwise further long writes are
// admitted on memory that is still in use, and the process exceeds its limit.
func TestValueOfDepartedClientStaysCounted(t *testing.T) {
	origin := newOrigin(t)
	p := newTestProxy(t, 10, defaultSettings, newCache(t), origin)
	counters := p.router.counters
	var attempts []receivedCommand
	for i := range 2 {
		client, received := writeLongValue(t, p, origin, fmt.Sprint("id", i))
		attempts = append(attempts, received)
		closeConn(t, client)
		p.eventually("the client's departure is not noticed", func() bool { return counters.Left.Load() == int64(i+1) })
	}
	if n := counters.Bytes.Load(); n != 2*longWrite {
		t.Errorf("got %d bytes counted while two attempts hold their values, want %d", n, 2*longWrite)
	}
	third := p.dial()
	send(t, third, setCommand("id2", longPut, strings.Repeat("v", longWrite)))
	expectReply(t, third, "-BUSY\r\n")
	for _, attempt := range attempts {
		send(t, attempt.conn, originValue("ok"))
	}
	p.eventually("values are counted after their attempts", func() bool { return counters.Bytes.Load() == 0 })
}

// The value of a write whose reply is streamed must stay counted until the stream has ended, since the attempt holds it.
func TestValueStaysCountedDuringStreamedReply(t *testing.T) {
	origin := newOrigin(t)
	p := newTestProxy(t, 10, defaultSettings, newCache(t), origin)
	counters := p.router.counters
	client, received := writeLongValue(t, p, origin, "id1")
	const length = wire.MaxBufferedValue + 1
	send(t, received.conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nv", length))
	expectReply(t, client, fmt.Sprintf("$%d\r\n", length))
	closeConn(t, client)
	p.eventually("the client's connection is not released", func() bool { return counters.Held.Load() == 0 })
	if n := counters.Bytes.Load(); n != longWrite {
		t.Errorf("got %d bytes counted while the reply is streamed, want %d", n, longWrite)
	}
	closeConn(t, received.conn)
	p.eventually("the value is counted after the stream", func() bool { return counters.Bytes.Load() == 0 })
}

// The value of a write that was moved to another connection must stay counted while the connection that is dialed for it
// refers to it.
func TestValueStaysCountedDuringDialOfMovedAttempt(t *testing.T) {
	origin := newOrigin(t)
	p := newTestProxy(t, 10, defaultSettings, newCache(t), origin)
	counters := p.router.counters
	client := p.dial()
	send(t, client, setCommand("id0", longPut, "v"))
	send(t, origin.next(t).conn, originValue("ok"))
	expectReply(t, client, okReply)
	release := p.dialer.block(origin.addr) // until then the first connection rests
	defer release()
	send(t, client, setCommand("id1", longPut, strings.Repeat("v", longWrite)))
	received := origin.next(t)
	if n := p.dialer.dials.Load(); n != 2 {
		t.Fatalf("got %d dials, want one that has ended and one that is blocked", n)
	}
	send(t, received.conn, originValue("ok"))
	expectReply(t, client, okReply)
	p.eventually("the request is not released", func() bool { return counters.Held.Load() == 0 })
	if n := counters.Bytes.Load(); n != longWrite {
		t.Errorf("got %d bytes counted during the dial, want %d", n, longWrite)
	}
	release()
	p.eventually("the value is counted after the dial", func() bool { return counters.Bytes.Load() == 0 })
}

// The value of a reply that is written must not be kept by an attempt that is still in flight, since it is counted no more.
func TestWrittenReplyIsNotKeptByAttempt(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	p := newTestProxy(t, 10, func(config *balancer.Settings) {
		config.ParallelAttempts = true
		config.Routes[1].Objective, config.Routes[1].Timeout = 1000, 2000 // an attempt is late after 0.1 s
	}, cache, origin)
	client := p.dial()
	send(t, client, getCommand("hedged", longWaitMS))
	cache.next(t) // the first attempt gets no response
	send(t, origin.next(t).conn, originValue("ok"))
	expectReply(t, client, okReply)
	p.eventually("the request is not released", func() bool { return p.router.counters.Held.Load() == 0 })
	held := make(chan *request)
	p.router.mailbox.post(func() { held <- p.router.slots[0].request })
	req := <-held
	if req == nil {
		t.Fatal("the first attempt is not in flight")
	}
	if reply := req.takeReply(); reply.body != nil {
		t.Errorf("the request keeps %d bytes of its reply", len(reply.body))
	}
}

// A value whose length is not announced is not read before there is memory for it, and is counted while it is read.
func TestUnknownLengthIsCountedWhileItIsRead(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	p := newTestProxy(t, 10, defaultSettings, cache, origin)
	counters := p.router.counters
	client := p.dial()
	send(t, client, getCommand("id1", longWaitMS))
	send(t, cache.next(t).conn, "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")
	received := origin.next(t)
	available := int(p.router.valueMemory.available.Load())
	p.router.valueMemory.acquire(available)
	value := strings.Repeat("v", 3*wire.MaxBufferedValue)
	send(t, received.conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", len(value), value))
	time.Sleep(5 * capacityPollInterval)
	if n := int(counters.Bytes.Load()); n != available {
		t.Errorf("got %d bytes counted without memory for the value, want %d", n, available)
	}
	p.router.valueMemory.release(available)
	p.eventually("the value is not counted", func() bool { return int(counters.Bytes.Load()) >= len(value) })
	send(t, received.conn, "\r\n0\r\n\r\n")
	expectReply(t, client, fmt.Sprintf("$%d\r\n%s\r\n", len(value), value))
	p.eventually("the value is counted after its reply", func() bool { return counters.Bytes.Load() == 0 })
}

// A value for which there is no memory must not be waited for once its client has left: the wait holds memory and a connection.
func TestDepartedClientEndsWaitForMemory(t *testing.T) {
	cache, origin := newCache(t), newOrigin(t)
	p := newTestProxy(t, 10, defaultSettings, cache, origin)
	client := p.dial()
	send(t, client, getCommand("id1", longWaitMS))
	received := cache.next(t)
	p.router.streamMemory.acquire(int(p.router.streamMemory.available.Load()))
	send(t, received.conn, fmt.Sprintf("*3\r\n$%d\r\nv", wire.MaxBufferedValue+1))
	time.Sleep(5 * capacityPollInterval)
	if n := p.router.counters.UpstreamOpen.Load(); n != 1 {
		t.Errorf("got %d connections while the client waits, want 1", n)
	}
	closeConn(t, client)
	p.eventually("the attempt is still in flight", func() bool { return p.router.counters.UpstreamOpen.Load() == 0 })
}

// expectReply reads a reply, or the beginning of one, and fails the test if it is not the given text.
func expectReply(t *testing.T, client net.Conn, want string) {
	t.Helper()
	got := make([]byte, len(want))
	if err := client.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if n, err := io.ReadFull(client, got); string(got[:n]) != want {
		t.Errorf("got %q, error %v, want %q", got[:n], err, want)
	}
}
