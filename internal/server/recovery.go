package server

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"woodproxy/internal/proxy"
	"woodproxy/internal/snapshot"
	"woodproxy/internal/wire"
	"woodproxy/recovery"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fastjson"
	"go.uber.org/zap"
)

const (
	stateLapse = 24 * time.Hour         // what is stored for longer is no list any more
	saveEvery  = time.Second            // where something changed
	stageTick  = 100 * time.Millisecond // looks at what the stages hinge on
	mostSeeds  = 16                     // stored addresses of peers that are asked as well
)

// returning is how the proxy comes back, and what it keeps for the next time.
type returning struct {
	store  *snapshot.Store // nil: nothing is kept
	place  *Place
	peers  *peers
	router *proxy.Router
	list   *proxy.List
	count  *proxy.Counters
	log    *zap.Logger
	clock  proxy.Clock
	quit   chan struct{}
	ended  chan struct{}

	mu sync.Mutex
	in *recovery.Instance
}

// restore weighs what was stored against the list that the configuration has, and returns the one to begin with.
func restore(p *Place, log *zap.Logger) (known *fastjson.Value, what string, drained int, err error) {
	if p.State == nil {
		return p.KnownEndpoints, "", 0, nil
	}
	old, err := p.State.Load()
	var torn *snapshot.TornError
	if errors.As(err, &torn) {
		log.Warn("state: " + torn.Error())
		return p.KnownEndpoints, "unreadable, and put aside", 0, p.State.Aside()
	}
	if old == nil {
		return p.KnownEndpoints, "nothing", 0, nil
	}
	if c := p.cluster(); old.Cluster != c {
		wrong := &recovery.ClusterError{Stored: old.Cluster, Own: c}
		log.Warn("state: " + wrong.Error())
		return p.KnownEndpoints, "another fleet's", 0, nil
	}
	disk, err := fastjson.ParseBytes(old.List)
	var rows, has []wire.Target
	index := int64(0)
	if err == nil {
		_, _, rows, err = wire.ParseTargets(disk)
	}
	if err != nil {
		log.Warn("state: the list in it can't be read; it is put aside", zap.Error(err))
		return p.KnownEndpoints, "unreadable, and put aside", 0, p.State.Aside()
	}
	if p.KnownEndpoints != nil && p.KnownEndpoints.Type() != fastjson.TypeNull {
		if index, _, has, err = wire.ParseTargets(p.KnownEndpoints); err != nil {
			return nil, "", 0, fmt.Errorf("configuration: known: %w", err)
		}
	}
	use := recovery.Believe(recovery.Stored{List: recovery.List{Index: old.Index, Lines: lines(rows)}, At: old.At},
		recovery.List{Index: index, Lines: lines(has)}, time.Now(), stateLapse)
	if p.Talk != nil { // who they were; some of them may be there
		for _, a := range old.Peers[:min(len(old.Peers), mostSeeds)] {
			if !slices.Contains(p.Talk.Seeds, a) {
				p.Talk.Seeds = append(p.Talk.Seeds, a)
			}
		}
	}
	known = p.KnownEndpoints
	switch {
	case use.Disk:
		known = disk
	case len(use.Drained) > 0:
		for i := range has {
			if slices.Contains(use.Drained, has[i].Name) {
				has[i].Ready = false
			}
		}
		known = fastjson.MustParseBytes(wire.AppendTargets(nil, has))
	}
	log.Info("state: "+use.Why, zap.Bool("used", use.Disk), zap.Strings("drained", use.Drained))
	return known, use.Why, len(use.Drained), nil
}

func lines(all []wire.Target) []recovery.Line {
	out := make([]recovery.Line, 0, len(all))
	for _, t := range all {
		l := recovery.Line{Name: t.Name}
		if l.Status = recovery.Leaving; t.Ready {
			l.Status = recovery.Ready
		} else if t.Gone {
			l.Status = recovery.Left
		}
		out = append(out, l)
	}
	return out
}

func (r *returning) now() recovery.Time { return recovery.Time(r.clock.Now()) }

// run follows the stages, and keeps what changed, for as long as the proxy runs.
func (r *returning) run() {
	defer close(r.ended)
	ticks := time.NewTicker(stageTick)
	defer ticks.Stop()
	fine, late, saved, kept := int64(0), int64(0), time.Now(), uint64(0)
	failed := false
	for {
		select {
		case <-r.quit:
			return
		case <-ticks.C:
		}
		r.mu.Lock()
		for ; fine < r.count.Completed.Load(); fine++ {
			r.in.Answered(true)
		}
		for ; late < r.count.Shed.Load()+r.count.Errored.Load(); late++ {
			r.in.Answered(false)
		}
		said := r.in.Tick(r.now())
		if r.list.Version() > 0 {
			said = append(said, r.in.Listed(r.now())...)
		}
		if t := r.peers.now.Load(); t != nil {
			here := -1 // others
			s := t.Shown()
			for _, m := range s.Members {
				if m.State == "here" {
					here++
				}
			}
			said = append(said, r.in.Peers(r.now(), here, s.Behind)...)
		}
		r.mu.Unlock()
		for _, d := range said {
			r.log.Info("recovery: " + d.Text)
		}
		if r.store != nil && time.Since(saved) >= saveEvery {
			saved = time.Now()
			all := r.snapshot()
			if all == nil {
				continue
			}
			if sum := xxhash.Sum64(append(fmt.Append(nil, all.Index, all.Peers), all.List...)); sum != kept {
				err := r.store.Save(all)
				if err == nil {
					kept = sum
				} else if !failed {
					r.log.Error("state: nothing is kept; see that its disk has room and works", zap.Error(err))
				}
				failed = err != nil
			}
		}
	}
}

// snapshot is what is worth keeping, nil: there is nothing yet, or nobody has time to tell.
func (r *returning) snapshot() *snapshot.Snapshot {
	index := r.list.Version()
	list := r.router.Targets()
	if index == 0 || len(list) == 0 {
		return nil
	}
	all := &snapshot.Snapshot{Cluster: r.place.cluster(), At: time.Now(), Index: index, List: wire.AppendTargets(nil, list)}
	if t := r.peers.now.Load(); t != nil {
		for _, m := range t.Shown().Members {
			if m.Address != "" && m.State != "gone" && m.Name != r.place.Name && len(all.Peers) < mostSeeds {
				all.Peers = append(all.Peers, m.Address)
			}
		}
	}
	return all
}

func (r *returning) stop() {
	close(r.quit)
	<-r.ended
}

func (r *returning) shown() recovery.Figures {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.in.Shown(r.now())
}

// Recovery is how the proxy comes back, nil: it goes through no stages.
func (s *service) Recovery() any {
	if s.back == nil {
		return nil
	}
	return s.back.shown()
}
