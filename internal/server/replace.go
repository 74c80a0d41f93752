package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"

	"woodproxy/internal/hotrestart"
	"woodproxy/internal/proxy"
	"woodproxy/internal/wire"

	"go.uber.org/zap"
)

// spareSockets are for standard streams, listeners, watch, operators, handing over, the library's own.
const spareSockets = 24

// reusePort is SO_REUSEPORT, which syscall lacks: a second process may listen where one does.
const reusePort = 15

// enter takes the listener of the process that this one replaces, if there is one, or listens itself. A process that
// can't be asked may still be there: both listen then, and each is dealt a part of those who come.
func enter(p *Place, log *zap.Logger) (*net.TCPListener, *hotrestart.Before, error) {
	if p.Shared != "" {
		before, err := hotrestart.Claim(p.Shared, p.Listen)
		if err == nil {
			log.Info("listener taken over", zap.Int("list", len(before.List)))
			return before.Listener, before, nil
		}
		if !errors.Is(err, hotrestart.ErrNobody) {
			log.Warn("listener not taken over", zap.Error(err))
		}
	}
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, reusePort, 1) })
	}}
	ln, err := config.Listen(context.Background(), "tcp", p.Listen)
	if err != nil {
		return nil, nil, fmt.Errorf("configuration: listen: %w", err)
	}
	return ln.(*net.TCPListener), nil, nil
}

// leave lets a later process take the listener. Where there is no directory to meet in, none can.
func leave(p *Place, ln *net.TCPListener, router *proxy.Router, room *allowance, log *zap.Logger) *hotrestart.Estate {
	list := func() []byte {
		if list := router.Targets(); list != nil {
			return wire.AppendTargets(nil, list)
		}
		return []byte("null")
	}
	estate := hotrestart.New(p.Shared, p.Listen, ln, list, func(heirs, serving int) {
		room.set(func(r *allowance) { r.heirs = heirs > 0 })
		room.door.Pause(serving > 0)
	}, log)
	if p.Shared != "" {
		if err := estate.Open(); err != nil {
			log.Warn("no place where the listener is handed over", zap.Error(err))
		}
	}
	return estate
}

// share is how many sockets there are for what: connections to peers, and to clients; and of these, how many may be kept
// that were served. Clients hold a third of the descriptors for requests at most; those that ask once and keep their
// connection take up that third, and with it full nobody asks anything more, though the proxy has places left.
type share struct{ links, clients, served int }

func shareOut(sockets int) share {
	links := (sockets - spareSockets) * 2 / 5
	return share{links, sockets - spareSockets - links, sockets / 4}
}

// allowance is what this process may take up. Two that run at one time count as one: the new one begins with half of the
// connections to peers and two thirds of those to clients, the old one keeps the rest, and each has half of the memory.
type allowance struct {
	share    share
	door     *proxy.Door
	router   *proxy.Router
	own      bool
	mu       sync.Mutex
	cores    float64
	memoryMB int
	before   bool // the process that this one replaces is there yet
	heirs    bool // one that replaces this one is there
	fewer    int  // connections to peers than its share
}

func (r *allowance) set(change func(r *allowance)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
	clients, served, fewer, mb := r.share.clients, r.share.served, 0, r.memoryMB
	if r.before || r.heirs {
		clients, fewer, mb = max((clients-spareSockets)/3, clients/4), (r.share.links+1)/2, mb/2
	}
	if r.before && !r.heirs {
		clients *= 2
	}
	if fewer != r.fewer {
		r.router.Links(r.fewer - fewer)
		r.fewer = fewer
	}
	r.door.Allow(clients, min(served, clients))
	r.door.Remember(mb)
	if r.own {
		limit(r.cores, mb)
	}
}
