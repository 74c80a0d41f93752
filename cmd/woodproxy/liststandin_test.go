package main_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"woodproxy/internal/emulator"
)

// heartbeatInterval is the interval at which an open watch receives an empty line.
const heartbeatInterval = 500 * time.Millisecond

// fakeDiscovery is a fake discovery server. It sends the complete endpoint list to each new watch, and then the changes
// that the test publishes.
type fakeDiscovery struct {
	indented bool // whether objects are indented over many lines and sent in small writes
	addr     [2]string

	mu      sync.Mutex
	version int
	rows    map[string]emulator.Endpoint
	order   []string      // names, in the order in which they were first listed
	silent  bool          // whether watches receive nothing
	changed chan struct{} // closed at the next change
	sent    []string      // published changes, one line each unless indented
	resets  int           // number of times that all watches were reset
}

func startFakeDiscovery(t *testing.T, servers int) *fakeDiscovery {
	t.Helper()
	d := &fakeDiscovery{rows: map[string]emulator.Endpoint{}, changed: make(chan struct{})}
	d.publish(fleetEndpoints(servers)...)
	for i := range d.addr {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(d.serve), ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(listener) }() // returns when the server is closed
		t.Cleanup(func() { _ = server.Close() })   // the test has finished, so that the error doesn't matter
		d.addr[i] = listener.Addr().String()
	}
	return d
}

// publish updates entries of the endpoint list and sends them to all watches as one change.
func (d *fakeDiscovery) publish(rows ...emulator.Endpoint) {
	d.change(func() {
		for _, row := range rows {
			if _, known := d.rows[row.Name]; !known {
				d.order = append(d.order, row.Name)
			}
			d.rows[row.Name] = row
		}
		d.sent = append(d.sent, d.object(false, rows))
	})
}

// change calls the function with the lock held, and wakes all watches.
func (d *fakeDiscovery) change(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	change()
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *fakeDiscovery) list() (rows []emulator.Endpoint) {
	for _, name := range d.order {
		if row := d.rows[name]; row.Status != "left" {
			rows = append(rows, row)
		}
	}
	return rows
}

// object encodes entries as a JSON object of the discovery protocol.
func (d *fakeDiscovery) object(complete bool, rows []emulator.Endpoint) string {
	lines := make([]string, len(rows))
	for i, row := range rows {
		lines[i] = row.String()
	}
	if d.indented {
		return fmt.Sprintf("{\n  \"index\": %d,\n  \"snapshot\": %v,\n  \"endpoints\": [\n    %s\n  ]\n}\n", d.version, complete,
			strings.ReplaceAll(strings.Join(lines, ",\n    "), `,"`, ",\n      \""))
	}
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`+"\n", d.version, complete, strings.Join(lines, ","))
}

// completeList returns the complete list in the form that a configuration contains.
func (d *fakeDiscovery) completeList() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return strings.TrimSpace(d.object(true, d.list()))
}

// serve handles one watch.
func (d *fakeDiscovery) serve(w http.ResponseWriter, request *http.Request) {
	d.mu.Lock()
	next, resets, first := len(d.sent), d.resets, d.object(true, d.list())
	d.mu.Unlock()
	begun := false
	for request.Context().Err() == nil {
		d.mu.Lock()
		changed, silent, ended := d.changed, d.silent, d.resets != resets
		lines := slices.Clone(d.sent[next:])
		d.mu.Unlock()
		if ended {
			panic(http.ErrAbortHandler)
		}
		if !silent {
			next += len(lines)
			if !begun {
				begun, lines = true, slices.Insert(lines, 0, first)
			}
			d.write(w, strings.Join(lines, "")+"\n")
		}
		select {
		case <-changed:
		case <-time.After(heartbeatInterval):
		case <-request.Context().Done():
		}
	}
}

// write sends a text, in small writes if objects are indented.
func (d *fakeDiscovery) write(w http.ResponseWriter, text string) {
	piece := len(text)
	if d.indented {
		piece = 4001 // bytes
	}
	for len(text) > 0 {
		n := min(piece, len(text))
		_, _ = io.WriteString(w, text[:n]) // a failed write ends the request's context
		_ = http.NewResponseController(w).Flush()
		text = text[n:]
	}
}
