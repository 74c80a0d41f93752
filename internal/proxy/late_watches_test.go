package proxy

import (
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"
)

// noticeTime is the time within which a discovery notices that the proxy has closed a watch.
const noticeTime = 200 * time.Millisecond

// slowDiscovery is a discovery that answers each watch late, or never.
type slowDiscovery struct {
	headerDelay, eventDelay time.Duration // from the request; the event comes after the header
	lost                    int           // number of the first requests that are never answered
	turns                   *sync.Mutex   // not nil: requests are answered one after the other, also closed ones

	mu        sync.Mutex
	requested []time.Time
	open      int
	mostOpen  int // noticeTime after a request
}

// serve answers a watch and waits until the proxy closes it. Errors are ignored: they show in the list that does not arrive.
func (d *slowDiscovery) serve(conn net.Conn) {
	d.mu.Lock()
	d.requested = append(d.requested, time.Now())
	number := len(d.requested)
	d.open++
	d.mu.Unlock()
	_, _ = conn.Read(make([]byte, 1000))
	time.AfterFunc(noticeTime, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.mostOpen = max(d.mostOpen, d.open)
	})
	if number > d.lost {
		if d.turns != nil {
			d.turns.Lock()
		}
		time.Sleep(d.headerDelay)
		if d.turns != nil {
			d.turns.Unlock()
		}
		_, _ = io.WriteString(conn, watchHeader)
		time.Sleep(d.eventDelay - d.headerDelay)
		_, _ = io.WriteString(conn, watchEvent)
	}
	_, _ = io.Copy(io.Discard, conn)
	d.mu.Lock()
	d.open--
	d.mu.Unlock()
}

// state returns the times of all requests, and how many watches are open now and were at most.
func (d *slowDiscovery) state() (requested []time.Time, open, mostOpen int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.requested), d.open, d.mostOpen
}

// awaitList waits for the first message and checks that it is the list of watchEvent.
func awaitList(t *testing.T, list *EndpointList, within time.Duration) {
	t.Helper()
	select {
	case <-list.FirstMessage():
	case <-time.After(within):
	}
	if list.LatestIndex() != 3 {
		t.Errorf("got index %d within %v, want the list of index 3", list.LatestIndex(), within)
	}
}

// A discovery that answers each request late is heard. Once the proxy closed each watch before its answer, requested
// another one and never received a list, so that it sent requests to draining hosts without end.
func TestSlowDiscoveryIsHeard(t *testing.T) {
	const second, slack = time.Second, 500 * time.Millisecond
	for name, test := range map[string]struct {
		polls     bool
		discovery *slowDiscovery
		within    time.Duration
	}{
		"watched":               {false, &slowDiscovery{headerDelay: 2 * second}, 2*second + slack},
		"watched, very slow":    {false, &slowDiscovery{headerDelay: 5 * second}, 5*second + slack},
		"polled":                {true, &slowDiscovery{headerDelay: 3 * second}, 3*second + slack},
		"header at once":        {false, &slowDiscovery{eventDelay: 4 * second}, 4*second + slack},
		"first request is lost": {false, &slowDiscovery{headerDelay: 5 * second / 2, lost: 1}, 6 * second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, list := startList(t, test.polls, test.discovery.serve)
			awaitList(t, list, test.within)
		})
	}
}

// A discovery that answers late is heard after SIGHUP as well, although the watch of the previous address ends before that.
func TestSlowDiscoveryIsHeardAfterReload(t *testing.T) {
	t.Parallel()
	const notifiedAfterReload = 4 * time.Second
	_, list := startList(t, false, func(conn net.Conn) {
		_, _ = io.WriteString(conn, watchHeader) // a failure shows in the list that does not arrive
		time.Sleep(1500 * time.Millisecond)
	})
	list.SetAddress(listen(t, (&slowDiscovery{headerDelay: 2 * time.Second}).serve))
	awaitList(t, list, notifiedAfterReload)
}

// A discovery that is silent is asked again in time, by few watches that are open at once. One of them is answered when it
// recovers, and the others end.
func TestSilentDiscoveryIsAskedAgain(t *testing.T) {
	t.Parallel()
	const maxInterval, slack = pushAnswerTimeout * 5 / 4, 300 * time.Millisecond
	discovery := &slowDiscovery{lost: 9}
	_, list := startList(t, false, discovery.serve)
	awaitList(t, list, 10*(maxInterval+slack))
	time.Sleep(maxInterval + slack) // for the other watches to end, and for requests that must not come
	requested, open, mostOpen := discovery.state()
	for i := range requested[1:] {
		if interval := requested[i+1].Sub(requested[i]); interval > maxInterval+slack {
			t.Errorf("request %d came %v after the one before, want %v at most", i+1, interval, maxInterval)
		}
	}
	if len(requested) != discovery.lost+1 || open != 1 || mostOpen > 4 {
		t.Errorf("got %d requests, %d watches open, at most %d at once; want %d, 1 and at most 4",
			len(requested), open, mostOpen, discovery.lost+1)
	}
}

// A crowded discovery answers one request after the other, also those that were closed. Once it spent all its time on
// these, and no proxy received a list.
func TestCrowdedDiscoveryIsHeardByAll(t *testing.T) {
	t.Parallel()
	const proxies, each = 8, 400 * time.Millisecond
	discovery := &slowDiscovery{headerDelay: each, turns: &sync.Mutex{}}
	addr := listen(t, discovery.serve)
	var lists []*EndpointList
	for i := range proxies {
		_, list := startListAt(t, false, addr, uint64(i))
		lists = append(lists, list)
	}
	for _, list := range lists {
		awaitList(t, list, 6*time.Second)
	}
}

// A discovery that serves one watch at a time is heard after an outage, within the time after which the proxy counts as
// notified, although watches that were requested in the outage are never answered.
func TestLostWatchesGiveWay(t *testing.T) {
	const outage, notified = 4 * time.Second, 6 * time.Second
	for name, rejects := range map[string]bool{"others wait": false, "others are rejected": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			up := time.Now().Add(outage)
			place := make(chan struct{}, 1)
			_, list := startList(t, false, func(conn net.Conn) {
				select {
				case place <- struct{}{}:
				default:
					if rejects {
						_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") // a failure shows in the list
						return
					}
					place <- struct{}{}
				}
				if time.Now().After(up) {
					_, _ = io.WriteString(conn, watchHeader+watchEvent)
				}
				_, _ = io.Copy(io.Discard, conn) // until the proxy closes the connection
				<-place
			})
			awaitList(t, list, outage+notified)
		})
	}
}
