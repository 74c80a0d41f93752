package server

import (
	"fmt"
	"math"
	"os"
	"reflect"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"woodproxy/balancer"
	"woodproxy/internal/admin"
	"woodproxy/internal/proxy"
	"woodproxy/internal/wire"
	"woodproxy/recovery"

	"github.com/valyala/fastjson"
	"go.uber.org/zap"
)

const (
	waitForList = time.Second            // clients are served from the old list when no other has come by then
	stillComing = 450 * time.Millisecond // after the signal to stop, while others learn of it
	// Who ends a process kills it no sooner than the longest overall timeout, three seconds at most, and 0.7 s more after
	// that signal; all is answered a little before.
	longestWaited = 3 * time.Second
	beforeKill    = 400 * time.Millisecond
	lastAnswer    = 1500 * time.Millisecond // for what is still being written then, where it is not killed
)

// answered is how long after the signal to stop all has its answer.
func answered(longest balancer.Time) time.Duration {
	return min(time.Duration(longest)*100*time.Microsecond, longestWaited) + beforeKill
}

// leaving is how connections end once nobody is let in any more. Clients go on using those that stay open, and lack ours if we
// are not replaced: so they are served for a while, as long as there is time for it.
func leaving(alone bool, left time.Duration) proxy.Leaving {
	l := proxy.Leaving{Yield: 0, Retire: 400 * time.Millisecond, Shut: 800 * time.Millisecond}
	if alone {
		l = proxy.Leaving{Yield: 500 * time.Millisecond, Retire: 800 * time.Millisecond, Shut: time.Second}
	}
	l.Yield, l.Retire, l.Shut = min(l.Yield, left*2/5), min(l.Retire, left*3/5), min(l.Shut, left*4/5)
	return l
}

// limit has the program keep to its cores and leave a third of its memory free, or rather collect more often.
func limit(cores float64, memoryMB int) {
	runtime.GOMAXPROCS(max(int(math.Ceil(cores)), 1))
	debug.SetMemoryLimit(int64(memoryMB) << 20 * 2 / 3)
}

// Serve runs the proxy until a signal tells it to stop. SIGUSR1 has it print its counters, SIGHUP take what again
// reads.
func Serve(p *Place, again func() (*Place, error), log *zap.Logger, signals <-chan os.Signal) error {
	ln, before, err := enter(p, log)
	if err != nil {
		return err
	}
	count := &proxy.Counters{}
	share := shareOut(p.Sockets)
	router := proxy.NewRouter(p.Book, p.Seed, proxy.NewClock(), share.links, count, log)
	if p.Untold {
		log.Warn("limits.may-tell: no file of peers is named; nothing is told")
	}
	if p.Watch != nil {
		router.Watch(p.Watch, p.Seed)
		log.Info("watching other settings; what they would decide otherwise is counted and not done")
	}
	known, stored, drained, err := restore(p, log)
	if err != nil {
		return err
	}
	wait := waitForList
	if before != nil && before.List != nil {
		v, err := fastjson.ParseBytes(before.List)
		if err == nil {
			_, _, _, err = wire.ParseTargets(v)
		}
		if err != nil {
			log.Warn("list not taken over", zap.Error(err))
		} else {
			known, wait = v, 0 // it is as new as the list can be
		}
	}
	list, err := proxy.NewList(p.Discovery, known, router, p.Seed, count, log)
	if err != nil {
		return fmt.Errorf("configuration: known: %w", err)
	}
	peers := &peers{place: p, router: router, list: list, count: count, log: log}
	if p.Talk != nil {
		list.Share(peers.listed)
		router.Tells(peers.tell)
	}
	if p.Missing != nil {
		say := peers.sayMissing
		if p.Talk == nil {
			say = nil
		}
		peers.absent = proxy.NewAbsent(*p.Missing, router, say, log)
		go peers.absent.Run()
	}
	if p.Turns != nil {
		peers.duties = proxy.NewDuties(*p.Turns, router, list, peers.sayTurn, log)
		go peers.duties.Run()
	}
	if p.Zones != nil {
		router.Zones(*p.Zones, peers.speak)
	}
	door := proxy.NewDoor(ln, router, p.MemoryMB, count, log)
	service := &service{Door: door, peers: peers, count: count, planning: make(chan struct{}, planners)}
	if p.State != nil || p.Talk != nil {
		service.back = &returning{store: p.State, place: p, peers: peers, router: router, list: list, count: count, log: log, clock: proxy.NewClock(), quit: make(chan struct{}), ended: make(chan struct{})}
		service.back.in = recovery.New(service.back.now(), recovery.Usual(p.Talk != nil), stored, drained)
	}
	if p.Management != "" {
		operators, err := admin.Listen(p.Management, service)
		if err != nil {
			return fmt.Errorf("configuration: management: %w", err)
		}
		defer operators.Close()
		go operators.Run()
	}
	room := &allowance{share: share, door: door, router: router, own: p.Own, cores: p.Cores, memoryMB: p.MemoryMB}
	room.set(func(r *allowance) { r.before = before != nil })
	if before == nil { // else its address is free once that process has gone
		if err := peers.start(); err != nil {
			return err
		}
	}
	estate := leave(p, ln, router, room, log)
	go router.Run()
	go list.Run()
	if service.back != nil {
		go service.back.run()
		defer service.back.stop()
	}
	go door.Run()
	log.Info("started", zap.String("name", p.Name), zap.String("listen", p.Listen), zap.Int("sockets", p.Sockets),
		zap.Bool("replaces", before != nil))
	select {
	case <-list.First():
	case <-time.After(wait):
		if wait > 0 {
			log.Warn("discovery is silent; serving from the list last known")
		}
	}
	door.Open()
	if before != nil {
		go func() {
			if err := before.Serving(); err == nil {
				before.Wait()
			}
			room.set(func(r *allowance) { r.before = false })
			log.Info("the process before has gone")
			if err := peers.start(); err != nil {
				log.Error("peers are not met", zap.Error(err))
			}
		}()
	}
	for on := true; on; {
		switch <-signals {
		case syscall.SIGUSR1:
			log.Info("counters", counters(count)...)
		case syscall.SIGHUP: // for which a program that does not ask ends
			if q, err := again(); err != nil {
				log.Error("configuration read anew is bad; the old terms stand", zap.Error(err))
			} else {
				take(p, q, list, room, log)
				p = q
			}
		default:
			on = false
		}
	}
	alone := estate.Heirs() == 0
	log.Info("stopping", zap.Bool("replaced", !alone))
	service.stopping.Store(true)
	saidGoodbye := make(chan struct{})
	goodbye := func() { // which waits for what is on its way to peers
		peers.stop(!alone)
		close(saidGoodbye)
	}
	early := alone && p.Missing == nil // else others have to hear what is still written
	if early {
		go goodbye()
	}
	left := answered(p.Book.Longest)
	router.Until(left)
	until := time.Now().Add(left + lastAnswer)
	if alone {
		time.Sleep(stillComing)
		left -= stillComing
	}
	door.Close(until, alone, leaving(alone, left))
	if !early { // until the heir may begin, or the name would be silent for as long as clients are served
		goodbye()
	}
	estate.Close()
	<-saidGoodbye
	log.Info("stopped", counters(count)...)
	return nil
}

// service is what operators see of the proxy.
type service struct {
	*proxy.Door
	peers    *peers
	count    *proxy.Counters
	back     *returning // nil: it goes through no stages
	stopping atomic.Bool
	planning chan struct{} // has a place for each plan that is being made
}

// Peers words how the proxy stands with its peers, "": it has none.
func (s *service) Peers() string { return s.peers.words() }

// Ready tells whether this process can serve; a drain takes nothing from that.
func (s *service) Ready() (bool, string) {
	switch {
	case s.stopping.Load():
		return false, "stopping"
	case !s.Opened():
		return false, "starting"
	}
	if s.peers.behind() {
		return true, "ready; catching up with peers"
	}
	if s.back != nil {
		if f := s.back.shown(); f.Stage != recovery.Full.String() {
			return true, "ready; " + f.Stage + ", since " + f.Why
		}
	}
	return true, "ready"
}

// take carries out what a configuration read anew asks for. What is settled with the start stays as it is, and the
// log says so.
func take(old, p *Place, list *proxy.List, room *allowance, log *zap.Logger) {
	log.Info("configuration read anew", zap.String("discovery", p.Discovery), zap.Float64("cores", p.Cores),
		zap.Int("memory_mb", p.MemoryMB))
	if p.Name != old.Name || p.Listen != old.Listen || p.Management != old.Management || p.Sockets != old.Sockets || !reflect.DeepEqual(p.Book, old.Book) ||
		!reflect.DeepEqual(p.Watch, old.Watch) || !reflect.DeepEqual(p.Talk, old.Talk) || !reflect.DeepEqual(p.Zones, old.Zones) ||
		!reflect.DeepEqual(p.Turns, old.Turns) || !reflect.DeepEqual(p.Missing, old.Missing) || p.MovesFile != old.MovesFile {
		log.Warn("name, listen, management, sockets, settings, watch, peers, zones, turns, moves and missing keys stand until the next start")
		p.Name, p.Listen, p.Management = old.Name, old.Listen, old.Management
		p.Sockets, p.Book, p.Watch, p.Talk, p.Zones, p.Turns, p.Moves, p.Missing = old.Sockets, old.Book, old.Watch, old.Talk, old.Zones, old.Turns, old.Moves, old.Missing
	}
	room.set(func(r *allowance) { r.cores, r.memoryMB = p.Cores, p.MemoryMB })
	list.Move(p.Discovery)
}

func counters(c *proxy.Counters) []zap.Field {
	var all []zap.Field
	c.Each(func(name string, value int64) { all = append(all, zap.Int64(name, value)) })
	return all
}
