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

// Row is a line of the list as one proxy is told it.
type Row struct {
	Name, Address, Zone, Kind, Status string
	Since                             int64 // Unix milliseconds
}

func (r Row) String() string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":1,"status":%q,"weight":1,"since_ms":%d}`,
		r.Name, r.Address, r.Zone, r.Kind, r.Status, r.Since)
}

// Mood is how discovery meets who watches: "" well, silent (for good to those who ask meanwhile), down (until it is well again),
// cut, garbled, or full (turns each away).
type Mood string

// Discovery is a stand-in for the agent on one proxy's machine.
type Discovery struct {
	Proxy   int
	Calls   atomic.Int64 // watches that were asked for
	Watches atomic.Int64 // that are open
	log     *EventLog
	network *network // nil: nothing stands between it and its proxy

	mu              sync.Mutex
	versions        [][]Row // by version, the first whole
	mode            Mood
	silencedWatches int // how often those watches that were out have fallen silent
	withholding     bool
	withheld        [][]Row // what is not told yet
	changed         chan struct{}
	conns           []net.Conn
	servers         []*http.Server
}

// NewDiscovery starts one that knows no list yet. Versions are counted from 2.
func NewDiscovery(proxy int, log *EventLog) *Discovery {
	return &Discovery{Proxy: proxy, log: log, changed: make(chan struct{})}
}

// Listen serves at a new address of the loopback address given; it may do so at several.
func (d *Discovery) Listen(ip string) (*http.Server, string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, "", err
	}
	if d.network != nil {
		ln = linkListener{ln, d.network, fmt.Sprint("d", d.Proxy), proxyName(d.Proxy)}
	}
	s := &http.Server{Handler: http.HandlerFunc(d.serveWatch), ConnState: func(c net.Conn, st http.ConnState) {
		if st == http.StateNew {
			d.mu.Lock()
			d.conns = append(d.conns, c)
			d.mu.Unlock()
		}
	}}
	d.mu.Lock()
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	go s.Serve(ln)
	return s, ln.Addr().String(), nil
}

// Close ends it wherever it listens.
func (d *Discovery) Close() {
	d.mu.Lock()
	servers := d.servers
	d.mu.Unlock()
	for _, s := range servers {
		s.Close()
	}
}

// Say tells changes; the first are the whole list.
func (d *Discovery) Say(rows ...Row) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.withholding {
		d.withheld = append(d.withheld, rows)
		return
	}
	d.publishLocked(rows)
}

func (d *Discovery) publishLocked(rows []Row) {
	d.versions = append(d.versions, rows)
	if d.log != nil && len(d.versions) > 1 {
		time.AfterFunc(DeliveryDeadline, func() { d.assumeDelivered(rows) })
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// due notes what counts as told by now, though nobody may have heard it, unless it was overtaken.
func (d *Discovery) assumeDelivered(rows []Row) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := d.currentRows()
	for _, row := range rows {
		if current[row.Name] == row {
			d.recordDelivered(row)
		}
	}
}

// latest is each node's line as it stands.
func (d *Discovery) currentRows() map[string]Row {
	current := map[string]Row{}
	for _, rows := range d.versions {
		for _, row := range rows {
			current[row.Name] = row
		}
	}
	return current
}

// told notes that its proxy knows a line, or counts as knowing it.
func (d *Discovery) recordDelivered(row Row) {
	d.log.Record(Seen{What: Told, Proxy: d.Proxy, Node: row.Name, Note: row.Status})
}

// Ahead notes what the agent has already as a process starts: it counts as told from that process's first moment, whether or not a
// watch is open.
func (d *Discovery) RecordKnownAtStart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, row := range d.currentRows() {
		if row.Status != "active" {
			d.recordDelivered(row)
		}
	}
}

// Hush has the watches that are out fall silent and stay open; those begun from now on speak.
func (d *Discovery) SilenceOpenWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silencedWatches++
	close(d.changed)
	d.changed = make(chan struct{})
}

// Stale holds back changes until it is switched off again.
func (d *Discovery) SetWithholding(on bool) {
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

// Feel changes the mood; one that is cut or garbled ends the watches that are out.
func (d *Discovery) Feel(mood Mood) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode = mood
	if mood == "cut" || mood == "garbled" {
		for _, c := range d.conns {
			c.Close()
		}
		d.conns = nil
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// Mood tells how it feels.
func (d *Discovery) Mode() Mood {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mode
}

func (d *Discovery) serveWatch(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	d.Calls.Add(1)
	d.Watches.Add(1)
	defer d.Watches.Add(-1)
	at, begun := max(since-1, 0), false
	d.mu.Lock()
	hushed := d.silencedWatches
	d.mu.Unlock()
	for {
		d.mu.Lock()
		mood, changed := d.mode, d.changed
		if d.silencedWatches > hushed {
			mood = "silent"
		}
		news := d.versions[min(at, len(d.versions)):]
		d.mu.Unlock()
		switch mood {
		case "silent":
			<-r.Context().Done() // a watch that fell silent stays so
			return
		case "down":
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			}
		case "full":
			if !begun { // a watch that is out ends
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			return
		case "cut", "garbled":
			if mood == "garbled" {
				io.WriteString(w, "{]\n")
			}
			return
		}
		for _, rows := range news {
			at++
			words := make([]string, len(rows))
			for i, row := range rows {
				words[i] = row.String()
			}
			fmt.Fprintf(w, `{"index":%d,"snapshot":%v,"endpoints":[%s]}`+"\n", at+1, at == 1, strings.Join(words, ","))
		}
		begun = true
		io.WriteString(w, "\n")
		if w.(http.Flusher).Flush(); r.Context().Err() == nil {
			for _, rows := range news {
				for _, row := range rows {
					d.recordDelivered(row)
				}
			}
		}
		select {
		case <-changed:
		case <-time.After(500 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
}
