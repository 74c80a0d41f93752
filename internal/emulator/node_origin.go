package emulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// serveFetch reads one request at the origin and responds to it. An error ends the connection.
func (n *Node) serveFetch(c *nodeConn, r *bufio.Reader, proxy int) error {
	request, err := http.ReadRequest(r)
	if err != nil {
		n.cluster.checkReadable(n, proxy, err)
		return err
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return err
	}
	id := request.Header.Get("X-Correlation-Id")
	c.beginRequest(id)
	fetch := originRequest{
		id: id, proxy: n.cluster.proxyFor(id, proxy), key: strings.TrimPrefix(request.URL.Path, "/"),
		idempotencyKey: idempotencyKeyOf(request.Header.Get("X-Facts")), write: request.Method == http.MethodPut,
		receivedAt: time.Now(),
	}
	if fetch.write && strings.Trim(string(body), writtenValueByte) != "" {
		return errConnectionEnds // clients never write this value
	}
	received := clientCommand{commandRead, fetch.key, request.Header.Get("X-Facts"), string(body)}
	if fetch.write {
		received.name = commandWrite
	}
	n.cluster.checkSent(n, fetch.proxy, id, received)
	n.cluster.log.Record(Event{
		Kind: AttemptReceived, RequestID: id, Proxy: fetch.proxy, Node: n.Name, Note: fetch.idempotencyKey,
		Figure: timeoutOf(request.Header.Get("X-Facts")),
	})
	command := n.nextMode(id)
	if command.mode != modeServe {
		time.Sleep(command.delay)
		n.cluster.recordRefusal(n, fetch.proxy, id, command.mode)
		return command.writeHTTP(c)
	}
	switch err := n.cluster.fetch(n, fetch); {
	case errors.Is(err, errNoSuchKey):
		command.mode = modeAbsent
	case err != nil:
		command.mode = modeBusy
	default:
		command.mode, command.value = modeHit, value(n.Name, id, n.cluster.valueSize)
		n.cluster.recordRead(n, fetch.proxy, id)
	}
	n.cluster.recordRefusal(n, fetch.proxy, id, command.mode)
	return command.writeHTTP(c)
}

// writeHTTP writes the response of the origin. An error ends the connection.
func (m commandMode) writeHTTP(w io.Writer) (err error) {
	v := m.value
	switch m.mode {
	case modeHit:
		_, err = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(v), v)
	case modeAbsent:
		_, err = io.WriteString(w, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	case modeChunked:
		_, err = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", v[:2], len(v)-2, v[2:])
	case modeBusy:
		_, err = io.WriteString(w, "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
	case modeFails:
		_, err = io.WriteString(w, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	case modeSilent:
	case modeGarbled:
		_, err = io.WriteString(w, malformedResponse(malformedOriginResponses, m.id, v))
	default:
		return errConnectionEnds
	}
	return err
}
