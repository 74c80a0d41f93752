package proxy

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"woodproxy/balancer"
	"woodproxy/internal/wire"
)

// Many proxies whose watches end at the same time must not all reopen them at the same time: the backoff is random and
// grows with each failure up to a bound.
func TestWatchBackoffIsSpreadAndGrows(t *testing.T) {
	var firsts []time.Duration
	for seed := range uint64(40) {
		list := NewEndpointList("", nil, newTestRouter(), seed, &Counters{}, zap.NewNop())
		firsts = append(firsts, list.nextBackoff())
		sum := time.Duration(0)
		for range 20 {
			last := list.nextBackoff()
			if sum += last; last > 3*maxWatchBackoff/2 {
				t.Errorf("got a backoff of %v, want at most 1.5 times maxWatchBackoff", last)
			}
		}
		if sum < 12*maxWatchBackoff {
			t.Errorf("got %v as the sum of 20 backoffs, want at least 12 times maxWatchBackoff", sum)
		}
	}
	slices.Sort(firsts)
	if firsts[0] < minWatchBackoff/2 || firsts[30]-firsts[10] < minWatchBackoff/4 {
		t.Errorf("got first backoffs from %v to %v, want at least half of minWatchBackoff and a wider spread", firsts[0], firsts[39])
	}
}

// startList starts an endpoint list that polls or watches a discovery which handles connections with serve.
func startList(t *testing.T, polls bool, serve func(net.Conn)) (*testProxy, *EndpointList) {
	t.Helper()
	return startListAt(t, polls, listen(t, serve), 1)
}

// startListAt starts an endpoint list that polls or watches the discovery at an address.
func startListAt(t *testing.T, polls bool, addr string, seed uint64) (*testProxy, *EndpointList) {
	t.Helper()
	p := newTestProxy(t, 10, func(config *balancer.Settings) {
		config.PollsList, config.PollInterval = polls, 100000
	}, newCache(t), newOrigin(t))
	list := NewEndpointList(addr, nil, p.router, seed, p.router.counters, zap.NewNop())
	go list.Run()
	return p, list
}

// A silent watch is replaced at once, also when the list is polled. With a backoff, a second silent watch would leave no
// time for a third one within the time in which the proxy is expected to apply missed events.
func TestSilentWatchIsRestartedAtOnce(t *testing.T) {
	for _, test := range []struct {
		name          string
		polls         bool
		answerTimeout time.Duration
	}{
		{"watched", false, pushAnswerTimeout},
		{"polled", true, pollAnswerTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			calls := make(chan struct{}, 10)
			startList(t, test.polls, func(conn net.Conn) {
				calls <- struct{}{}
				_, _ = io.Copy(io.Discard, conn) // sends nothing until the proxy closes the connection
			})
			began := time.Now()
			for range 3 {
				select {
				case <-calls:
				case <-time.After(10 * time.Second):
					t.Fatal("no watch was opened within 10 s")
				}
			}
			// Two watches were silent, each until its first-byte timeout, since neither had received anything.
			if took := time.Since(began); took > 2*test.answerTimeout*5/4+500*time.Millisecond {
				t.Errorf("polled %v: the third watch was opened after %v, want the first-byte timeouts of two", test.polls, took)
			}
		})
	}
}

// A response to a watch: its header, and the complete list of index 3 as the first chunk.
const (
	watchHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	watchEvent  = "9c\r\n" + `{"index":3,"snapshot":true,"endpoints":[{"name":"c9","address":"127.0.0.1:1","zone":"a",` +
		`"type":"std","group":1,"status":"active","weight":1,"since_ms":0}]}` + "\n\r\n"
)

// A list that arrives in pieces with a long pause, or, when polled, a long time after the request, is still accepted. If
// the proxy gave up, the list would count as sent although the proxy lacks it, and the next request would find discovery
// even busier.
func TestSlowEndpointListIsAccepted(t *testing.T) {
	const late = pushAnswerTimeout*5/4 + 200*time.Millisecond // longer than the first-byte timeout for an agent
	response := watchHeader + watchEvent
	for _, test := range []struct {
		name       string
		polls      bool
		firstBytes int // number of bytes that are sent at once
	}{
		{"watched, in pieces", false, len(watchHeader) + 20},
		{"polled, late", true, 0},
		{"polled, in pieces", true, 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			p, list := startList(t, test.polls, func(conn net.Conn) {
				// Errors are ignored: a failure shows in the list that does not arrive.
				_, _ = conn.Read(make([]byte, 1000))
				_, _ = io.WriteString(conn, response[:test.firstBytes])
				time.Sleep(late)
				_, _ = io.WriteString(conn, response[test.firstBytes:])
				_, _ = io.Copy(io.Discard, conn)
			})
			select {
			case <-list.FirstMessage():
			case <-time.After(late + time.Second):
			}
			if n := p.router.counters.Lists.Load(); n != 1 || list.LatestIndex() != 3 {
				t.Errorf("got %d lists and index %d, want 1 list and index 3", n, list.LatestIndex())
			}
		})
	}
}

// A long list may take longer than watchSilenceTimeout to arrive. This once ended the watch, and each one after it.
func TestLongListMayComeSlowly(t *testing.T) {
	const pieces = 6
	const pause = 800 * time.Millisecond // the pauses together are longer than watchSilenceTimeout
	var text strings.Builder
	text.WriteString(`{"index":7,"snapshot":true,"endpoints":[`)
	for i := range pieces {
		_, _ = fmt.Fprintf(&text, `{"name":"slow-%d","address":"127.0.0.1:1","status":"active"},`, i) // never fails
	}
	object := strings.TrimSuffix(text.String(), ",") + "]}\n"
	p, _ := startList(t, false, func(conn net.Conn) {
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") // a failure shows in the missing list
		for piece := range slices.Chunk([]byte(object), len(object)/pieces+1) {
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece)
			time.Sleep(pause)
		}
		_, _ = io.Copy(io.Discard, conn) // until the proxy closes the connection
	})
	for end := time.Now().Add(pieces*pause + 2*time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if slices.ContainsFunc(p.router.Endpoints(), func(e wire.Endpoint) bool { return e.Name == "slow-0" }) {
			return
		}
	}
	t.Errorf("no list was applied; %d watches were opened", p.router.counters.Watches.Load())
}
