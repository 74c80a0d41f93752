// Package server starts the proxy and stops it.
package server

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"strconv"

	"woodproxy/duties"
	"woodproxy/internal/gossip"
	"woodproxy/internal/settings"
	"woodproxy/internal/snapshot"
	"woodproxy/negativecache"
	"woodproxy/rebalance"
	"woodproxy/zonehealth"

	"github.com/valyala/fastjson"
)

// Place is what a proxy is told of itself at its start.
type Place struct {
	Name, Listen, Discovery string
	Management              string // where operators call, "": nowhere
	Own                     bool   // the process serves this proxy alone, and is kept to its memory and cores
	Shared                  string // directory in which the process that replaces this one is met, "": none
	Seed                    uint64
	Cores                   float64
	MemoryMB, Sockets       int
	Known                   *fastjson.Value
	Book                    *settings.Book
	Untold                  bool   // peers might be told things, and no file of peers is named
	Peers, PeersListen      string // the file of peers, "": none; where they meet this proxy, before what the file says
	Talk                    *gossip.Config
	ZonesFile               string // by which whole zones are left, "": they are not
	Zones                   *zonehealth.Terms
	StateDir                string // where it keeps what it knows for its next start, "": nowhere
	State                   *snapshot.Store
	MissingFile             string // by which keys are known to be missing, "": they are not
	Missing                 *negativecache.Terms
	MovesFile               string // by which moves of shards are planned, "": they are not
	Moves                   *rebalance.Terms
	TurnsFile               string // by which proxies take turns, "": they do not
	Turns                   *duties.Terms
	Watch                   *settings.Book // terms that are only watched, nil: none
}

// Read takes the configuration file; what the other place names of name, listen,
// discovery and management goes before it, and the
// process's own affairs are its alone.
func Read(file string, over Place) (*Place, error) {
	if file == "" {
		return nil, errors.New("configuration: no file named")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	v, err := fastjson.ParseBytes(text)
	if err != nil || v.Type() != fastjson.TypeObject {
		return nil, fmt.Errorf("configuration: %s: not a JSON object", file)
	}
	p := &Place{Own: over.Own, Shared: over.Shared, Peers: over.Peers, PeersListen: over.PeersListen, ZonesFile: over.ZonesFile, StateDir: over.StateDir, MissingFile: over.MissingFile, MovesFile: over.MovesFile, TurnsFile: over.TurnsFile, Cores: 1, MemoryMB: 192, Sockets: 1024, Known: v.Get("known")}
	word := func(key, given string) string {
		s := v.Get(key)
		switch {
		case given != "":
			return given
		case s == nil:
			err = errors.Join(err, fmt.Errorf("configuration: %s: missing", key))
		case s.Type() != fastjson.TypeString || len(s.GetStringBytes()) == 0:
			err = errors.Join(err, fmt.Errorf("configuration: %s: mistyped", key))
		}
		return string(s.GetStringBytes())
	}
	number := func(key string, usual float64) float64 {
		s := v.Get("limits", key)
		if s == nil || s.Type() == fastjson.TypeNull {
			return usual
		}
		n, bad := s.Float64()
		if bad != nil || !(n > 0 && n < 1e9) {
			err = errors.Join(err, fmt.Errorf("configuration: limits.%s: mistyped or out of its range", key))
		}
		return n
	}
	p.Name, p.Listen, p.Discovery = word("name", over.Name), word("listen", over.Listen),
		word("discovery", over.Discovery)
	if s := v.Get("management"); over.Management != "" || s != nil && s.Type() != fastjson.TypeNull {
		p.Management = word("management", over.Management)
	}
	p.Cores = number("cores", p.Cores)
	p.MemoryMB = int(number("memory_mb", float64(p.MemoryMB)))
	p.Sockets = int(number("sockets", float64(p.Sockets)))
	if p.Seed, err = seed(v.Get("seed"), err); err != nil {
		return nil, first(err)
	}
	for _, a := range [...]struct{ key, addr string }{
		{"listen", p.Listen},
		{"discovery", p.Discovery},
		{"management", p.Management},
	} {
		if a.key == "management" && a.addr == "" {
			continue
		}
		if _, port, bad := net.SplitHostPort(a.addr); bad != nil || port == "" {
			return nil, fmt.Errorf("configuration: %s: no address and port: %q", a.key, a.addr)
		}
	}
	if p.Management == p.Listen {
		return nil, fmt.Errorf("configuration: management: the address of listen: %q", p.Management)
	}
	if p.Sockets < 64 {
		return nil, fmt.Errorf("configuration: limits.sockets: fewer than 64")
	}
	s := v.Get("settings")
	if s == nil || s.Type() != fastjson.TypeObject {
		return nil, errors.New("configuration: settings: missing or mistyped")
	}
	if p.Book, err = settings.Read(s); err != nil {
		return nil, fmt.Errorf("configuration: settings: %w", err)
	}
	p.Untold, p.Book.Terms.Peers = p.Book.Terms.Peers > 0, 0
	if p.Peers != "" {
		if p.Talk, err = gossip.Read(p.Peers, p.PeersListen); err != nil {
			return nil, err
		}
		for _, a := range [...]string{p.Listen, p.Management, p.Discovery} {
			if a == p.Talk.Listen {
				return nil, fmt.Errorf("peers: %s: listen: the address of another listener: %q", p.Peers, a)
			}
		}
		// the module tells one number, which stands for all
		p.Untold, p.Book.Terms.Peers, p.Book.Terms.Me = false, 1, 0
	}
	if p.ZonesFile != "" {
		if p.Zones, err = readZones(p.ZonesFile, p.Name, p.Book); err != nil {
			return nil, err
		}
	}
	if p.StateDir != "" {
		if p.State, err = snapshot.Open(p.StateDir, p.Name); err != nil {
			return nil, err
		}
	}
	if p.MissingFile != "" {
		if p.Missing, err = readMissing(p.MissingFile, p.Name, p.Talk != nil, p.Book); err != nil {
			return nil, err
		}
	}
	if p.MovesFile != "" {
		if p.Moves, err = readMoves(p.MovesFile); err != nil {
			return nil, err
		}
	}
	if p.TurnsFile != "" {
		if p.Talk == nil {
			return nil, fmt.Errorf("turns: %w", &duties.AloneError{File: p.TurnsFile})
		}
		if p.Turns, err = readTurns(p.TurnsFile, p.Name, p.Book); err != nil {
			return nil, err
		}
	}
	if p.Watch, err = watched(v, p.Book); err != nil {
		return nil, fmt.Errorf("configuration: watch: %w", err)
	}
	return p, nil
}

// watched reads the settings with what watch puts in their place. Routes, tenants, zones and kinds have to be the same
// ones in the same order, since the same exchanges are put to both.
func watched(v *fastjson.Value, book *settings.Book) (*settings.Book, error) {
	over := v.Get("watch")
	switch {
	case over == nil || over.Type() == fastjson.TypeNull:
		return nil, nil
	case over.Type() != fastjson.TypeObject:
		return nil, errors.New("mistyped")
	}
	s := v.Get("settings")
	lay(s, over)
	w, err := settings.Read(s)
	if err != nil {
		return nil, err
	}
	for _, f := range []struct {
		name string
		same bool
	}{
		{"routes", maps.Equal(w.Routes, book.Routes)},
		{"tenants", maps.Equal(w.Tenants, book.Tenants)},
		{"zones", maps.Equal(w.Zones, book.Zones)},
		{"family-info.origin-kind", w.Origin == book.Origin},
	} {
		if !f.same {
			return nil, fmt.Errorf("setup %s: not those of the settings", f.name)
		}
	}
	return w, nil
}

// lay puts what is named in one object over another; objects in both are laid over each other.
func lay(under, over *fastjson.Value) {
	over.GetObject().Visit(func(key []byte, v *fastjson.Value) {
		if u := under.Get(string(key)); u != nil && u.Type() == fastjson.TypeObject && v.Type() == fastjson.TypeObject {
			lay(u, v)
			return
		}
		under.Set(string(key), v)
	})
}

// seed reads the start of chance, which is hexadecimal.
func seed(v *fastjson.Value, err error) (uint64, error) {
	if err != nil {
		return 0, err
	}
	if v == nil {
		return 0, errors.New("configuration: seed: missing")
	}
	n, bad := strconv.ParseUint(string(v.GetStringBytes()), 16, 64)
	if bad != nil {
		return 0, errors.New("configuration: seed: mistyped")
	}
	return n, nil
}

// first keeps to one line: the first thing found wrong.
func first(err error) error {
	if many, ok := err.(interface{ Unwrap() []error }); ok {
		return first(many.Unwrap()[0])
	}
	return err
}
