package emulator_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"woodproxy/internal/emulator"
)

// fakeReply is the reply of a fake proxy to one request.
type fakeReply struct {
	text   string
	closes bool // the connection is closed after the text
}

// fakeProxy is a proxy without backends. Its replies are computed from the ID of the request and the number of requests
// received, which starts at 1.
type fakeProxy struct {
	inProcessProxy
	reply    func(id string, number int) fakeReply
	requests atomic.Int64
}

// startFakeProxy returns a function that starts a fake proxy. The proxy counts accepted connections in conns unless it is nil.
func startFakeProxy(reply func(id string, number int) fakeReply, conns *atomic.Int64) emulator.StartFunc {
	return func(config emulator.ProxyConfig) (emulator.Proxy, error) {
		listener, err := net.Listen("tcp", config.Listen)
		if err != nil {
			return nil, err
		}
		p := &fakeProxy{inProcessProxy: inProcessProxy{make(chan os.Signal, 4), make(chan error, 1)}, reply: reply}
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				if conns != nil {
					conns.Add(1)
				}
				go p.serve(c)
			}
		}()
		go func() {
			<-p.signals
			_ = listener.Close() // an error changes nothing: no more connections are accepted
			close(p.done)
		}()
		return p, nil
	}
}

func (p *fakeProxy) serve(c net.Conn) {
	defer func() { _ = c.Close() }() // the client may have closed it
	reader := bufio.NewReader(c)
	for {
		words, err := emulator.ReadCommand(reader)
		if err != nil {
			return
		}
		reply := fakeReply{text: "+PONG\r\n"}
		if words[0] != "PING" {
			reply = p.reply(words[2], int(p.requests.Add(1)))
		}
		if _, err := io.WriteString(c, reply.text); err != nil || reply.closes {
			return
		}
	}
}

// validReply returns a correct reply to the request with an ID.
func validReply(id string) string {
	v := "c0:" + id
	return fmt.Sprintf("$%d\r\n%s\r\n", len(v), v)
}

// Each kind of misbehavior toward clients violates exactly the invariant that covers it; correct proxies violate none.
func TestMisbehavingProxyViolatesInvariant(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		reply func(id string, number int) fakeReply
		rule  emulator.Rule
	}{
		{"replies correctly", func(id string, _ int) fakeReply { return fakeReply{text: validReply(id)} }, ""},
		{"sheds load", func(string, int) fakeReply { return fakeReply{text: "-BUSY 10\r\n"} }, ""},
		{
			"replies twice", func(id string, _ int) fakeReply { return fakeReply{text: validReply(id) + validReply(id)} },
			emulator.FinalReplyRule,
		},
		{
			"replies with the value of another request", func(id string, _ int) fakeReply { return fakeReply{text: validReply("x" + id)} },
			emulator.OwnValueRule,
		},
		{"closes without a reply", func(_ string, number int) fakeReply { return fakeReply{closes: number%3 == 0} }, emulator.FinalReplyRule},
		{"replies late", func(id string, _ int) fakeReply {
			time.Sleep(1200 * time.Millisecond)
			return fakeReply{text: validReply(id)}
		}, emulator.FinalReplyRule},
		{
			"closes in the middle of a reply", func(string, int) fakeReply { return fakeReply{text: "$99\r\nc0:", closes: true} },
			emulator.FinalReplyRule,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			text := scenarioWith("length_s = 2.0", "length_s = 1.0", "rate = 150.0", "rate = 40.0")
			r := play(t, text, startFakeProxy(c.reply, nil))
			if got := countViolations(r); c.rule == "" && len(got) > 0 || c.rule != "" && (got[c.rule] == 0 || len(got) > 1) {
				t.Errorf("got violations %v, want %q", r.Violations, c.rule)
			}
			if c.rule != "" && len(r.Violations[0].Events) == 0 {
				t.Error("the violation lists no events of the request")
			}
		})
	}
}

// While a proxy stalls, the load generator keeps sending requests at their due times, and the measured latency includes the
// stall. A generator that waited for replies would send fewer requests and report too low a latency.
func TestStalledProxyDoesNotSlowLoad(t *testing.T) {
	t.Parallel()
	const stall = 600 * time.Millisecond
	var first atomic.Int64
	reply := func(id string, _ int) fakeReply {
		first.CompareAndSwap(0, time.Now().UnixNano())
		if since := time.Duration(time.Now().UnixNano() - first.Load()); since < stall {
			time.Sleep(stall - since)
		}
		return fakeReply{text: validReply(id)}
	}
	r := play(t, strings.Replace(calmScenario, "length_s = 2.0", "length_s = 1.5", 1), startFakeProxy(reply, nil))
	waited := 0
	for _, result := range r.Results {
		if result.Request.At < 300*time.Millisecond && result.Latency > 250*time.Millisecond {
			waited++
		}
		if result.SendDelay > 300*time.Millisecond {
			t.Errorf("request %s was sent %v late", result.Request.ID, result.SendDelay)
		}
	}
	if waited < 25 || len(r.Results) != len(r.Plan.Requests) {
		t.Errorf("%d requests waited, want at least 25; %d of %d were sent", waited, len(r.Results), len(r.Plan.Requests))
	}
}

// Clients hold the configured number of connections open and distribute requests over them.
func TestHeldConnectionsAreUsedInTurn(t *testing.T) {
	t.Parallel()
	text := scenarioWith("rate = 150.0", "rate = 100.0, connections = 40", "length_s = 2.0", "length_s = 1.0", "proxies = 2", "proxies = 1")
	var conns, received atomic.Int64
	r := play(t, text, startFakeProxy(func(id string, _ int) fakeReply {
		received.Add(1)
		return fakeReply{text: validReply(id)}
	}, &conns))
	if conns.Load() < 40 || conns.Load() > 50 || len(r.Violations) > 0 || received.Load() < 60 {
		t.Errorf("%d connections, want 40 to 50; %d requests, want at least 60; violations %v", conns.Load(), received.Load(), r.Violations)
	}
}
