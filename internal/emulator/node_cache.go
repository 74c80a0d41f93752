package emulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"time"
)

// serveCommand reads one command at a cache and responds to it. An error ends the connection.
func (n *Node) serveCommand(c *nodeConn, r *bufio.Reader, proxy int) error {
	words, err := ReadCommand(r)
	if err != nil {
		n.cluster.checkReadable(n, proxy, err)
		return err
	}
	key, id, facts := words[1], words[2], words[3]
	c.beginRequest(id)
	proxy = n.cluster.proxyFor(id, proxy)
	n.cluster.checkSent(n, proxy, id, clientCommand{words[0], key, facts, words[4]})
	n.cluster.log.Record(Event{
		Kind: AttemptReceived, RequestID: id, Proxy: proxy, Node: n.Name, Note: idempotencyKeyOf(facts), Figure: timeoutOf(facts),
	})
	command := n.nextMode(id)
	closes := command.mode == modeServeThenClose
	if command.mode == modeServe || closes {
		cached, err := n.cluster.lookUp(n, proxy, id, key)
		switch {
		case err != nil:
			command.mode = modeBusy
		case cached:
			command.mode, command.value = modeHit, value(n.Name, id, n.cluster.valueSize)
			n.cluster.recordRead(n, proxy, id)
		default:
			command.mode = modeMiss
		}
	} else if command.mode != modeDelaysHalf && command.mode != modeLateValue {
		time.Sleep(command.delay)
	}
	n.cluster.recordRefusal(n, proxy, id, command.mode)
	if command.mode == modeLateValue {
		n.cluster.recordRead(n, proxy, id)
	}
	if command.mode == modeLateValue {
		if err = c.writeLate(command.value, command.delay); err != nil {
			n.recordBreak(proxy, id, err)
		}
	} else {
		err = command.writeRESP(c)
	}
	if err != nil || !closes {
		return err
	}
	return errConnectionEnds
}

// recordBreak records that a response broke off with an error, by this node's own close or by the proxy's.
func (n *Node) recordBreak(proxy int, id string, err error) {
	kind := ResponseCutOff
	if errors.Is(err, net.ErrClosed) {
		kind = ResponseBroken
	}
	n.cluster.log.Record(Event{Kind: kind, RequestID: id, Proxy: proxy, Node: n.Name})
}

// Lengths in bytes of a late value and of the parts in which it is written. Between two parts the end of the connection can
// be noticed.
const (
	lateValueBytes = 100_000
	lateValuePart  = 20_000
	latePartPause  = 2 * time.Millisecond
)

// writeLate writes a response whose value comes after the delay. No surplus response is written meanwhile.
func (c *nodeConn) writeLate(value string, delay time.Duration) error {
	head, tail := fmt.Sprintf("*3\r\n$%d\r\n", len(value)), "\r\n"+cacheDetails
	c.setInParts(true)
	defer c.setInParts(false)
	if _, err := io.WriteString(c.Conn, head); err != nil {
		return err
	}
	time.Sleep(delay)
	for part := range slices.Chunk([]byte(value), lateValuePart) {
		if _, err := c.Conn.Write(part); err != nil {
			return err
		}
		time.Sleep(latePartPause)
	}
	if _, err := io.WriteString(c.Conn, tail); err != nil {
		return err
	}
	c.recordResponse([]byte(head + value + tail))
	return nil
}

// writeRESP writes the response of a cache. An error ends the connection.
func (m commandMode) writeRESP(w io.Writer) (err error) {
	v := m.value
	hit := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n%s", len(v), v, cacheDetails)
	switch m.mode {
	case modeHit:
		_, err = io.WriteString(w, hit)
	case modeHitThenClose:
		_, _ = io.WriteString(w, hit) // the connection is closed in any case
		return errConnectionEnds
	case modeDuplicates:
		_, err = io.WriteString(w, hit+hit)
	case modeMiss:
		_, err = io.WriteString(w, "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")
	case modeBusy:
		_, err = io.WriteString(w, "-BUSY\r\n")
	case modeFails:
		_, err = io.WriteString(w, "-ERR failed\r\n")
	case modeGarbled:
		_, err = io.WriteString(w, malformedResponse(malformedCacheResponses, m.id, v))
	case modeEndless:
		_, err = fmt.Fprintf(w, "*3\r\n$%d\r\n%s..", len(v), v)
	case modeDelaysHalf:
		if _, err = fmt.Fprintf(w, "*3\r\n$%d\r\n%s", len(v), v[:len(v)/2]); err != nil {
			return err
		}
		time.Sleep(m.delay)
		_, err = io.WriteString(w, v[len(v)/2:]+"\r\n"+cacheDetails)
	case modeTruncates:
		_, _ = fmt.Fprintf(w, "*3\r\n$%d\r\n%s", len(v), v[:len(v)/2]) // the connection is closed in any case
		return errConnectionEnds
	case modeDisconnects:
		return errConnectionEnds
	}
	return err
}
