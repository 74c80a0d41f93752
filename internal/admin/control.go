// Package admin answers the calls of operators at an address of their own. It keeps away from what exchanges use: no
// call waits for an actor, and its connections are few, whoever comes.
package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Service is what operators see of the proxy and do with it. None of its methods may wait.
type Service interface {
	Ready() (yes bool, why string) // whether this process can serve
	OutOfService() (changed bool)  // send clients away
	InService() (changed bool)
	Peers() string // how it stands with its peers, "": it has none
	Zones() string // how the zones stand, "": they are not judged
	Turns() any    // how what goes by turns stands, to be told as JSON, nil: nothing does
	Recovery() any // how the proxy comes back, nil: it goes through no stages
	Missing() any  // how what is known of missing keys stands, nil: nothing is
	Forget() error // forgets all of it
	Metrics() http.Handler
	// Plan plans moves of shards by an inventory; nil and no error: nothing is planned here. It may take a second, beside
	// what the proxy does
	Plan(inventory io.Reader) (any, error)
	// an order on a zone or region: in, out, hold or auto, to replace the one of that epoch, below zero: whichever stands.
	// An error tells why nothing has changed
	Command(name, want string, epoch int64, force bool) (string, error)
}

// wrong is how an error is told: its type, a sentence that says what to do, and its figures.
type wrong struct {
	Type  string `json:"type"`
	Error string `json:"error"`
	Found error  `json:"found,omitempty"`
}

// typeName returns the name by which callers know an error's type. Errors of the planner state it themselves, since it must
// not change with the place of their Go type.
func typeName(err error) string {
	var named interface{ TypeName() string }
	if errors.As(err, &named) {
		return named.TypeName()
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", err), "*")
}

// forced is what has to be said for an order that leaves no zone in.
const forced = "leave no zone"

const (
	mostConns     = 8               // at once; one more, and the one that has said nothing whole for longest goes
	callTime      = 2 * time.Second // from the first byte of a call's head to the end of its answer
	mostInventory = 4 << 20
	planTime      = 10 * time.Second
	mostHead      = 4 << 10 // net/http reads a little more than it is told
)

// Server is the listener for operators and the connections there.
type Server struct {
	http *http.Server
	gate *gate
}

// Listen binds the address.
func Listen(addr string, of Service) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	g := &gate{Listener: ln, open: map[*conn]uint64{}}
	h := &http.Server{
		Handler: handler(of), ReadTimeout: callTime, ReadHeaderTimeout: callTime, WriteTimeout: 2 * callTime,
		MaxHeaderBytes: mostHead, ErrorLog: stdlog.New(io.Discard, "", 0),
	} // no line for each garbled head
	h.SetKeepAlivesEnabled(false) // one call to a connection
	return &Server{h, g}, nil
}

// Run answers calls until Close.
func (s *Server) Run() { s.http.Serve(s.gate) }

// Close ends the listener and the connections.
func (s *Server) Close() { s.http.Close() }

func handler(of Service) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/ready", func(w http.ResponseWriter, r *http.Request) {
		yes, why := of.Ready()
		if !yes {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		fmt.Fprintln(w, why)
	})
	show := func(path, none string, words func() string) {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
			text := words()
			if text == "" {
				http.Error(w, none, http.StatusNotFound)
				return
			}
			io.WriteString(w, text)
		})
	}
	show("/control/peers", "no file of peers is named", of.Peers)
	show("/control/zones", "no file of zones is named", of.Zones)
	figures := func(path, none string, stands func() any) {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
			all := stands()
			if all == nil {
				http.Error(w, none, http.StatusNotFound)
				return
			}
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(all)
		})
	}
	figures("/control/turns", "no file of turns is named", of.Turns)
	figures("/control/recovery", "neither state nor peers are named", of.Recovery)
	figures("/control/missing", "no file of missing keys is named", of.Missing)
	mux.HandleFunc("POST /control/missing/forget", func(w http.ResponseWriter, r *http.Request) {
		if err := of.Forget(); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		fmt.Fprintln(w, "forgotten here")
	})
	mux.HandleFunc("POST /control/moves/plan", func(w http.ResponseWriter, r *http.Request) {
		c := http.NewResponseController(w) // which takes longer than other calls
		c.SetReadDeadline(time.Now().Add(planTime))
		c.SetWriteDeadline(time.Now().Add(2 * planTime))
		plan, err := of.Plan(http.MaxBytesReader(w, r.Body, mostInventory))
		w.Header().Set("Content-Type", "application/json")
		switch {
		case err != nil:
			w.WriteHeader(http.StatusConflict)
			json.NewEncoder(w).Encode(wrong{typeName(err), err.Error(), err})
		case plan == nil:
			w.WriteHeader(http.StatusNotFound)
			json.NewEncoder(w).Encode(wrong{"", "no file of moves is named", nil})
		default:
			json.NewEncoder(w).Encode(plan)
		}
	})
	mux.Handle("GET /metrics", of.Metrics())
	mux.HandleFunc("POST /control/zones/{zone}/{want}", func(w http.ResponseWriter, r *http.Request) {
		epoch, force := int64(-1), r.URL.Query().Get("force") == forced
		if s := r.URL.Query().Get("epoch"); s != "" {
			n, err := strconv.ParseInt(s, 10, 64)
			if err != nil || n < 0 {
				http.Error(w, fmt.Sprintf("epoch: %q: no number of an order", s), http.StatusBadRequest)
				return
			}
			epoch = n
		}
		if s := r.URL.Query().Get("force"); s != "" && !force {
			http.Error(w, fmt.Sprintf("force: %q: it takes the words %q", s, forced), http.StatusBadRequest)
			return
		}
		text, err := of.Command(r.PathValue("zone"), r.PathValue("want"), epoch, force)
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		io.WriteString(w, text)
	})
	change := func(path, done, was string, call func() bool) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, mostHead)); err != nil {
				http.Error(w, "the call takes no body", http.StatusRequestEntityTooLarge)
				return
			}
			if call() {
				fmt.Fprintln(w, done)
			} else {
				fmt.Fprintln(w, was)
			}
		})
	}
	change("/control/out-of-service", "out of service from now on", "was out of service already", of.OutOfService)
	change("/control/in-service", "in service again", "was in service already", of.InService)
	return mux
}

// gate bounds the connections: callers that connect and finish no call push out each other, not the next caller.
type gate struct {
	net.Listener
	mu   sync.Mutex
	open map[*conn]uint64 // in the order they came; emptied as they end
	came uint64
}

type conn struct {
	net.Conn
	gate *gate
	once sync.Once
}

func (g *gate) Accept() (net.Conn, error) {
	in, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: in, gate: g}
	g.mu.Lock()
	var out *conn
	for o, at := range g.open {
		if len(g.open) >= mostConns && (out == nil || at < g.open[out]) {
			out = o
		}
	}
	g.came++
	g.open[c] = g.came
	g.mu.Unlock()
	if out != nil { // a whole call is answered in far less than it takes so many others to come
		out.Close()
	}
	return c, nil
}

func (c *conn) Close() error {
	c.once.Do(func() {
		c.gate.mu.Lock()
		delete(c.gate.open, c)
		c.gate.mu.Unlock()
	})
	return c.Conn.Close()
}
