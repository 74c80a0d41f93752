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

// fakeAnswer is what a fake proxy answers.
type fakeAnswer struct {
	text   string
	closes bool // the connection is closed afterwards
}

// fakeProxy is a proxy that answers each request by a function of its ID and its number, counted from 1.
type fakeProxy struct {
	inProcessProxy
	answer   func(id string, number int) fakeAnswer
	requests atomic.Int64
}

// startFake starts a fake proxy, which counts its connections where a counter is given.
func startFake(answer func(id string, number int) fakeAnswer, conns *atomic.Int64) emulator.StartFunc {
	return func(config emulator.ProxyConfig) (emulator.Proxy, error) {
		listener, err := net.Listen("tcp", config.Listen)
		if err != nil {
			return nil, err
		}
		p := &fakeProxy{inProcessProxy: inProcessProxy{make(chan os.Signal, 4), make(chan error, 1)}, answer: answer}
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
			_ = listener.Close() // it accepts no more in any case
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
		answer := fakeAnswer{text: "+PONG\r\n"}
		if words[0] != "PING" {
			answer = p.answer(words[2], int(p.requests.Add(1)))
		}
		if _, err := io.WriteString(c, answer.text); err != nil || answer.closes {
			return
		}
	}
}

// validValue is a right answer to a request.
func validValue(id string) string {
	v := "c0:" + id
	return fmt.Sprintf("$%d\r\n%s\r\n", len(v), v)
}

func TestMisbehavingProxiesBreakTheirRule(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		answer func(id string, number int) fakeAnswer
		rule   emulator.Rule
	}{
		{"behaves", func(id string, _ int) fakeAnswer { return fakeAnswer{text: validValue(id)} }, ""},
		{"sheds load", func(string, int) fakeAnswer { return fakeAnswer{text: "-BUSY 10\r\n"} }, ""},
		{
			"answers twice", func(id string, _ int) fakeAnswer { return fakeAnswer{text: validValue(id) + validValue(id)} },
			emulator.FinalReplyRule,
		},
		{
			"answers with another request's value", func(id string, _ int) fakeAnswer { return fakeAnswer{text: validValue("x" + id)} },
			emulator.OwnValueRule,
		},
		{"closes", func(_ string, number int) fakeAnswer { return fakeAnswer{closes: number%3 == 0} }, emulator.FinalReplyRule},
		{"answers late", func(id string, _ int) fakeAnswer {
			time.Sleep(1200 * time.Millisecond)
			return fakeAnswer{text: validValue(id)}
		}, emulator.FinalReplyRule},
		{
			"closes in the middle of an answer", func(string, int) fakeAnswer { return fakeAnswer{text: "$99\r\nc0:", closes: true} },
			emulator.FinalReplyRule,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			text := scenarioWith("length_s = 2.0", "length_s = 1.0", "rate = 150.0", "rate = 40.0")
			r := play(t, text, startFake(c.answer, nil))
			if got := countViolations(r); c.rule == "" && len(got) > 0 || c.rule != "" && (got[c.rule] == 0 || len(got) > 1) {
				t.Errorf("%v, not %q", r.Violations, c.rule)
			}
			if c.rule != "" && len(r.Violations[0].Events) == 0 {
				t.Error("no events of the request")
			}
		})
	}
}

// A proxy that stalls neither slows the load that is offered nor hides what waiting costs.
func TestStalledProxyDoesNotSlowLoad(t *testing.T) {
	t.Parallel()
	const stall = 600 * time.Millisecond
	var first atomic.Int64
	answer := func(id string, _ int) fakeAnswer {
		first.CompareAndSwap(0, time.Now().UnixNano())
		if since := time.Duration(time.Now().UnixNano() - first.Load()); since < stall {
			time.Sleep(stall - since)
		}
		return fakeAnswer{text: validValue(id)}
	}
	r := play(t, strings.Replace(calmScenario, "length_s = 2.0", "length_s = 1.5", 1), startFake(answer, nil))
	waited := 0
	for _, result := range r.Results {
		if result.Request.At < 300*time.Millisecond && result.Latency > 250*time.Millisecond {
			waited++
		}
		if result.SendDelay > 300*time.Millisecond {
			t.Errorf("%s was sent %v late", result.Request.ID, result.SendDelay)
		}
	}
	if waited < 25 || len(r.Results) != len(r.Plan.Requests) {
		t.Errorf("%d waited, %d of %d asked", waited, len(r.Results), len(r.Plan.Requests))
	}
}

func TestHeldConnectionsAreUsedInTurn(t *testing.T) {
	t.Parallel()
	text := scenarioWith("rate = 150.0", "rate = 100.0, connections = 40", "length_s = 2.0", "length_s = 1.0", "proxies = 2", "proxies = 1")
	var conns, asked atomic.Int64
	r := play(t, text, startFake(func(id string, _ int) fakeAnswer {
		asked.Add(1)
		return fakeAnswer{text: validValue(id)}
	}, &conns))
	if conns.Load() < 40 || conns.Load() > 50 || len(r.Violations) > 0 || asked.Load() < 60 {
		t.Errorf("%d connections, %d asked, %v", conns.Load(), asked.Load(), r.Violations)
	}
}
