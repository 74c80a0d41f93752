package emulator

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// Kinds of surplus responses: responses of a node that answer no request.
const (
	surplusCopy    = "copy"    // the response before it once more
	surplusRefusal = "refusal" // a rejection as overloaded
	surplusError   = "error"   // a server error
	surplusMiss    = "miss"    // a cache miss, or that the origin does not have the key
	surplusHalf    = "half"    // the first half of a copy
	surplusUnasked = "unasked" // a rejection on a connection at rest, which the node then closes, as servers end idle connections
)

// surplusTexts are the surplus responses that do not depend on an earlier one, by kind, of caches and of the origin.
var surplusTexts = map[string]struct{ cache, origin string }{
	surplusRefusal: {"-BUSY\r\n", "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"},
	surplusUnasked: {"-BUSY\r\n", "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"},
	surplusError:   {"-ERR failed\r\n", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"},
	surplusMiss:    {"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n", "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"},
}

// isSurplusKind reports whether there is a surplus response of the kind.
func isSurplusKind(kind string) bool { return slices.Contains(SurplusKinds(), kind) }

// SurplusKinds returns the kinds of surplus responses in alphabetical order.
func SurplusKinds() []string {
	kinds := []string{surplusCopy, surplusHalf}
	for kind := range surplusTexts {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

// surplusResponses describes the surplus responses that a node sends.
type surplusResponses struct {
	kind     string
	fraction float64       // fraction of the responses that one more follows
	minDelay time.Duration // least time from the end of a response to the surplus one
	maxDelay time.Duration // longest such time
}

// surplusTimerSlack is the time beyond maxDelay after which a surplus response is not sent any more: on an overloaded machine
// it would be later than the scenario says.
const surplusTimerSlack = 5 * time.Millisecond

// nodeConn is a connection to a node that remembers the latest response on it, so that surplus responses can follow. Each
// response to a request is written by one call of Write, or in parts by writeLate.
type nodeConn struct {
	net.Conn

	mu         sync.Mutex // guards the fields below, and keeps the bytes of two responses apart
	response   []byte     // the latest response
	requestID  string     // of the request that the latest response was made for
	ended      time.Time  // end of the latest response
	requestOut bool       // a request has been received and has no response yet
	inParts    bool       // a response is being written in parts
}

// setInParts records whether a response is being written in parts, between which no other one may be written.
func (c *nodeConn) setInParts(inParts bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inParts = inParts
}

// recordResponse records the end of a response that was written in parts.
func (c *nodeConn) recordResponse(response []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.response, c.ended, c.requestOut = response, time.Now(), false
}

// beginRequest records that a request has been received.
func (c *nodeConn) beginRequest(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestID, c.requestOut = id, true
}

// Write writes a response to the request that was received last.
func (c *nodeConn) Write(response []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(response)
	c.response, c.ended, c.requestOut = append(c.response[:0], response...), time.Now(), false
	return n, err
}

// setSurplus makes a node send surplus responses, or none if surplus is nil.
func (n *Node) setSurplus(surplus *surplusResponses) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.surplus = surplus
}

// scheduleSurplus draws whether a surplus response follows the latest response on a connection, and when.
func (n *Node) scheduleSurplus(c *nodeConn, proxy int) {
	n.mu.Lock()
	surplus := n.surplus
	n.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if surplus == nil || c.requestOut || hashedFloat(c.requestID, n.Name, "surplus") >= surplus.fraction {
		return
	}
	spread := float64(surplus.maxDelay - surplus.minDelay)
	delay := surplus.minDelay + time.Duration(hashedFloat(c.requestID, n.Name, "delay")*spread)
	response, id, ended := c.surplusText(surplus.kind, n.Origin), c.requestID, c.ended
	time.AfterFunc(time.Until(ended.Add(delay)), func() {
		late := time.Since(ended)
		if late > surplus.maxDelay+surplusTimerSlack || !c.writeSurplus(response, surplus.kind) {
			return
		}
		n.cluster.log.Record(Event{
			Kind: SurplusSent, RequestID: id, Proxy: proxy, Node: n.Name, Note: surplus.kind, Figure: float64(late) / float64(time.Millisecond),
		})
	})
}

// surplusText returns the surplus response of a kind. The caller holds mu.
func (c *nodeConn) surplusText(kind string, origin bool) []byte {
	response := append([]byte(nil), c.response...)
	switch texts, fixed := surplusTexts[kind]; {
	case fixed && origin:
		return []byte(texts.origin)
	case fixed:
		return []byte(texts.cache)
	case kind == surplusHalf:
		return response[:len(response)/2]
	}
	return response
}

// writeSurplus writes a surplus response and reports whether it was written. An unasked one is written only if no request is
// out.
func (c *nodeConn) writeSurplus(response []byte, kind string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inParts || kind == surplusUnasked && c.requestOut {
		return false
	}
	_, err := c.Conn.Write(response)
	if kind == surplusUnasked {
		_ = c.Close() // the proxy may have closed it
	}
	return err == nil
}

// injectSurplusResponses makes the target caches and the origin send surplus responses for the duration of the fault.
func (r *runner) injectSurplusResponses(ctx context.Context, fault activeFault) {
	surplus := &surplusResponses{
		kind: fault.Surplus, fraction: fault.Fraction, minDelay: millis(fault.MinDelayMS), maxDelay: millis(fault.MaxDelayMS),
	}
	targets := append(r.targetNodes(fault.FaultEvent), r.origin)
	for _, n := range targets {
		n.setSurplus(surplus)
	}
	sleep(ctx, fault.duration)
	for _, n := range targets {
		n.setSurplus(nil)
	}
}

// injectBusyOrigin makes the origin reject a fraction of the commands as overloaded for the duration of the fault.
func (r *runner) injectBusyOrigin(ctx context.Context, fault activeFault) {
	r.origin.SetMode(modeBusy, fault.Fraction, 0, 0)
	sleep(ctx, fault.duration)
	r.origin.SetMode(modeServe, 1, 0, 0)
}
