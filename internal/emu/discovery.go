package emu

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
	Proxy int
	Calls atomic.Int64 // watches that were asked for
	log   *Log
	ways  *Ways // nil: nothing stands between it and its proxy

	mu      sync.Mutex
	news    [][]Row // by version, the first whole
	mood    Mood
	hushed  int // how often those watches that were out have fallen silent
	stale   bool
	held    [][]Row // what is not told yet
	changed chan struct{}
	conns   []net.Conn
	servers []*http.Server
}

// NewDiscovery starts one that knows no list yet. Versions are counted from 2.
func NewDiscovery(proxy int, log *Log) *Discovery {
	return &Discovery{Proxy: proxy, log: log, changed: make(chan struct{})}
}

// Listen serves at a new address of the loopback address given; it may do so at several.
func (d *Discovery) Listen(ip string) (*http.Server, string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, "", err
	}
	if d.ways != nil {
		ln = waysListener{ln, d.ways, fmt.Sprint("d", d.Proxy), proxyName(d.Proxy)}
	}
	s := &http.Server{Handler: http.HandlerFunc(d.follow), ConnState: func(c net.Conn, st http.ConnState) {
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
	if d.stale {
		d.held = append(d.held, rows)
		return
	}
	d.say(rows)
}

func (d *Discovery) say(rows []Row) {
	d.news = append(d.news, rows)
	if d.log != nil && len(d.news) > 1 {
		time.AfterFunc(ToldAfter, func() { d.due(rows) })
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// due notes what counts as told by now, though nobody may have heard it, unless it was overtaken.
func (d *Discovery) due(rows []Row) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, row := range rows {
		if last := d.last(row.Name); last != nil && *last == row {
			d.log.See(Seen{What: Told, Proxy: d.Proxy, Node: row.Name, Note: row.Status})
		}
	}
}

// last is a node's latest line.
func (d *Discovery) last(name string) *Row {
	for i := len(d.news) - 1; i >= 0; i-- {
		for k := range d.news[i] {
			if d.news[i][k].Name == name {
				return &d.news[i][k]
			}
		}
	}
	return nil
}

// Ahead notes what the agent has already as a process starts: it counts as told from that process's first moment, whether or not a
// watch is open.
func (d *Discovery) Ahead() {
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := map[string]bool{}
	for i := len(d.news) - 1; i >= 0; i-- {
		for _, row := range d.news[i] {
			if !seen[row.Name] && row.Status != "active" {
				d.log.See(Seen{What: Told, Proxy: d.Proxy, Node: row.Name, Note: row.Status})
			}
			seen[row.Name] = true
		}
	}
}

// Hush has the watches that are out fall silent and stay open; those begun from now on speak.
func (d *Discovery) Hush() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hushed++
	close(d.changed)
	d.changed = make(chan struct{})
}

// Stale holds back changes until it is switched off again.
func (d *Discovery) Stale(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stale = on
	if !on {
		for _, rows := range d.held {
			d.say(rows)
		}
		d.held = nil
	}
}

// Feel changes the mood; one that is cut or garbled ends the watches that are out.
func (d *Discovery) Feel(mood Mood) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mood = mood
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
func (d *Discovery) Mood() Mood {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mood
}

func (d *Discovery) follow(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	d.Calls.Add(1)
	at, begun := max(since-1, 0), false
	d.mu.Lock()
	hushed := d.hushed
	d.mu.Unlock()
	for {
		d.mu.Lock()
		mood, changed := d.mood, d.changed
		if d.hushed > hushed {
			mood = "silent"
		}
		news := d.news[min(at, len(d.news)):]
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
					d.log.See(Seen{What: Told, Proxy: d.Proxy, Node: row.Name, Note: row.Status})
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
