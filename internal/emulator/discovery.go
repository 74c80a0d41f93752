package emulator

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Statuses of an endpoint.
const (
	statusActive  = "active"
	statusLeaving = "leaving" // draining
	statusLeft    = "left"    // removed from the list
)

// Endpoint is an endpoint as one proxy's discovery agent reports it.
type Endpoint struct {
	Name, Address, Zone, Kind, Status string
	StartedAtMS                       int64 // start of the endpoint in Unix milliseconds; 0: unknown
}

// String returns the JSON encoding of the endpoint in the discovery protocol.
func (r Endpoint) String() string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":1,"status":%q,"weight":1,"since_ms":%d}`,
		r.Name, r.Address, r.Zone, r.Kind, r.Status, r.StartedAtMS)
}

// DiscoveryMode is the way in which a discovery agent serves watches.
type DiscoveryMode string

// Modes of discovery.
const (
	discoveryServes  DiscoveryMode = ""
	discoverySilent  DiscoveryMode = "silent"  // watches stay open and receive nothing, even after the mode changes
	discoveryStalled DiscoveryMode = "down"    // watches receive nothing until the mode changes
	discoveryCut     DiscoveryMode = "cut"     // connections are closed
	discoveryGarbled DiscoveryMode = "garbled" // malformed data is sent and connections are closed
	discoveryRefuses DiscoveryMode = "full"    // watches are refused with status 503
)

// keepaliveInterval is the interval at which an idle watch is sent an empty line.
const keepaliveInterval = 500 * time.Millisecond

// Discovery is a stand-in for the service discovery agent on the machine of one proxy. Its methods may be called
// concurrently.
type Discovery struct {
	Proxy         int
	WatchesOpened atomic.Int64 // number of watches opened so far
	OpenWatches   atomic.Int64 // number of watches that are open
	BytesSent     atomic.Int64 // bytes of lists and changes sent
	log           *EventLog
	network       *network // nil: the proxy connects directly
	serving       sync.WaitGroup

	mu           sync.Mutex
	versions     [][]Endpoint        // rows of each version; the first version is the complete list
	current      map[string]Endpoint // the latest row of each endpoint, by name
	mode         DiscoveryMode
	silenceCount int           // number of calls of silenceOpenWatches
	answerDelay  time.Duration // time from the request of a watch to the beginning of its response
	withholding  bool          // published changes are held back
	withheld     [][]Endpoint  // changes that are held back
	changed      chan struct{} // closed and replaced at each change of the fields above
	conns        []net.Conn
	servers      []*http.Server
}

// NewDiscovery returns an agent without an endpoint list; the log may be nil. The first published version has index 2.
func NewDiscovery(proxy int, log *EventLog) *Discovery {
	return &Discovery{Proxy: proxy, log: log, changed: make(chan struct{}), current: map[string]Endpoint{}}
}

// Listen starts a server at a free port of a loopback address and returns the server and its address. It may be called
// repeatedly.
func (d *Discovery) Listen(ip string) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, "", err
	}
	if d.network != nil {
		listener = linkListener{listener, d.network, fmt.Sprint("d", d.Proxy), proxyName(d.Proxy)}
	}
	server := &http.Server{Handler: http.HandlerFunc(d.serveWatch), ConnState: func(c net.Conn, state http.ConnState) {
		if state == http.StateNew {
			d.mu.Lock()
			d.conns = append(d.conns, c)
			d.mu.Unlock()
		}
	}}
	d.mu.Lock()
	d.servers = append(d.servers, server)
	d.mu.Unlock()
	d.serving.Go(func() { _ = server.Serve(listener) }) // returns once the server is closed
	return server, listener.Addr().String(), nil
}

// Close closes all servers and waits until they have stopped accepting connections.
func (d *Discovery) Close() {
	d.mu.Lock()
	servers := d.servers
	d.mu.Unlock()
	for _, s := range servers {
		_ = s.Close() // a test may have closed it already
	}
	d.serving.Wait()
}

// Publish publishes changes as one version; the first call publishes the complete list. While changes are held back, it only
// stores them.
func (d *Discovery) Publish(rows ...Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.withholding {
		d.withheld = append(d.withheld, rows)
		return
	}
	d.publishLocked(rows)
}

// publishLocked publishes changes as one version. It requires mu.
func (d *Discovery) publishLocked(rows []Endpoint) {
	d.versions = append(d.versions, rows)
	for _, row := range rows {
		d.current[row.Name] = row
	}
	if d.log != nil && len(d.versions) > 1 {
		time.AfterFunc(deliveryDeadline, func() { d.assumeDelivered(rows) })
	}
	d.notifyLocked()
}

// notifyLocked wakes all watches. It requires mu.
func (d *Discovery) notifyLocked() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// assumeDelivered records rows as delivered because their delivery deadline has passed, whether or not a watch has received
// them. Rows that a later version has replaced are skipped.
func (d *Discovery) assumeDelivered(rows []Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, row := range rows {
		if d.current[row.Name] == row {
			d.recordDelivered(row)
		}
	}
}

// recordDelivered records that the proxy has received the status of a row, or is regarded as having received it.
func (d *Discovery) recordDelivered(row Endpoint) {
	d.log.Record(Event{Kind: StatusDelivered, Proxy: d.Proxy, Node: row.Name, Note: row.Status})
}

// recordKnownAtStart records the endpoints that are not active when a proxy process starts. Their status counts as delivered
// from the start of the process, whether or not a watch is open. If the agent does not serve watches at that time, or
// serves them late, the status counts as delivered after deliveryDeadline instead.
func (d *Discovery) recordKnownAtStart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	var inactive []Endpoint
	for _, row := range d.current {
		if row.Status != statusActive {
			inactive = append(inactive, row)
		}
	}
	if d.mode != discoveryServes || d.answerDelay > 0 {
		time.AfterFunc(deliveryDeadline, func() { d.assumeDelivered(inactive) })
		return
	}
	for _, row := range inactive {
		d.recordDelivered(row)
	}
}

// silenceOpenWatches stops sending on the watches that are open, without closing them. Watches opened later are served.
func (d *Discovery) silenceOpenWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silenceCount++
	d.notifyLocked()
}

// SetAnswerDelay sets the time after which the watches are answered that are requested from now on.
func (d *Discovery) SetAnswerDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answerDelay = delay
}

// setWithholding starts or stops holding back changes. Stopping publishes the changes held back so far.
func (d *Discovery) setWithholding(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.withholding = on
	if !on {
		for _, rows := range d.withheld {
			d.publishLocked(rows)
		}
		d.withheld = nil
	}
}

// SetMode sets the mode. The modes "cut" and "garbled" also close all connections.
func (d *Discovery) SetMode(mode DiscoveryMode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode = mode
	if mode == discoveryCut || mode == discoveryGarbled {
		for _, c := range d.conns {
			_ = c.Close() // the connection may have ended already
		}
		d.conns = nil
	}
	d.notifyLocked()
}

// Mode returns the current mode.
func (d *Discovery) Mode() DiscoveryMode {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mode
}

// watch is one open watch.
type watch struct {
	discovery    *Discovery
	response     http.ResponseWriter
	request      *http.Request
	silenceCount int  // value of Discovery.silenceCount when the watch was opened
	next         int  // position in Discovery.versions of the next version to send
	begun        bool // part of the response has been sent
}

// serveWatch serves one watch until it ends.
func (d *Discovery) serveWatch(response http.ResponseWriter, request *http.Request) {
	since, _ := strconv.Atoi(request.URL.Query().Get("since")) // if absent or malformed, send all versions
	d.WatchesOpened.Add(1)
	d.OpenWatches.Add(1)
	defer d.OpenWatches.Add(-1)
	d.mu.Lock()
	w := &watch{discovery: d, response: response, request: request, silenceCount: d.silenceCount, next: max(since-1, 0)}
	delay := d.answerDelay
	d.mu.Unlock()
	if !sleep(request.Context(), delay) {
		return
	}
	for w.step() {
	}
}

// step serves the watch in the current mode, waits for the next change or keep-alive, and reports whether the watch
// continues.
func (w *watch) step() bool {
	mode, changed, versions := w.state()
	switch mode {
	case discoverySilent:
		<-w.request.Context().Done() // a silenced watch stays silent after the mode changes
		return false
	case discoveryStalled:
		select {
		case <-changed:
			return true
		case <-w.request.Context().Done():
			return false
		}
	case discoveryRefuses:
		if !w.begun { // once a response has begun, its status can't be changed
			w.response.WriteHeader(http.StatusServiceUnavailable)
		}
		return false
	case discoveryCut:
		return false
	case discoveryGarbled:
		_, _ = io.WriteString(w.response, "{]\n") // the connection is being closed
		return false
	}
	w.send(versions)
	select {
	case <-changed:
	case <-time.After(keepaliveInterval):
	case <-w.request.Context().Done():
		return false
	}
	return true
}

// state returns the mode of the watch, a channel that is closed at the next change, and the versions to send.
func (w *watch) state() (mode DiscoveryMode, changed <-chan struct{}, versions [][]Endpoint) {
	d := w.discovery
	d.mu.Lock()
	defer d.mu.Unlock()
	mode = d.mode
	if d.silenceCount > w.silenceCount {
		mode = discoverySilent
	}
	return mode, d.changed, d.versions[min(w.next, len(d.versions)):]
}

// send writes versions and a keep-alive line. Write errors are ignored, since a failed write cancels the context of the
// request: the versions count as delivered only if the context is still active afterwards.
func (w *watch) send(versions [][]Endpoint) {
	for _, rows := range versions {
		w.next++
		endpoints := make([]string, len(rows))
		for i, row := range rows {
			endpoints[i] = row.String()
		}
		n, _ := fmt.Fprintf(w.response, `{"index":%d,"snapshot":%v,"endpoints":[%s]}`+"\n", w.next+1, w.next == 1, strings.Join(endpoints, ","))
		w.discovery.BytesSent.Add(int64(n))
	}
	w.begun = true
	_, _ = io.WriteString(w.response, "\n")
	_ = http.NewResponseController(w.response).Flush()
	if w.request.Context().Err() != nil {
		return
	}
	for _, rows := range versions {
		for _, row := range rows {
			w.discovery.recordDelivered(row)
		}
	}
}
