package server

import (
	"math"
	"runtime"
	"runtime/debug"
	"sync"

	"woodproxy/internal/proxy"
)

// reservedSockets are descriptors for the standard streams, listeners, the watch at discovery, admin calls, the
// hot-restart socket and the Go runtime.
const reservedSockets = 24

// socketBudget is how many sockets there are for which use.
type socketBudget struct {
	upstream int // connections to cache servers and the origin
	clients  int // connections of clients
	served   int // of these, connections that may be kept once a request on them was answered
}

// divideSockets divides the descriptors. Clients have at most a third of the descriptors that are for requests. Those
// that send one request and keep their connection would fill that third, and nobody could send anything more though
// the proxy has capacity: so only a quarter of all may be kept by such.
func divideSockets(sockets int) socketBudget {
	upstream := (sockets - reservedSockets) * 2 / 5
	return socketBudget{upstream: upstream, clients: sockets - reservedSockets - upstream, served: sockets / 4}
}

// resourceBudget bounds the sockets, memory and cores of this process. During a hot restart two processes share the
// budget of one: the successor gets half of the upstream connections and two thirds of the client connections, the
// predecessor keeps the rest, and each gets half of the memory.
type resourceBudget struct {
	sockets        socketBudget
	clientListener *proxy.Listener
	router         *proxy.Router
	limitsRuntime  bool // limits of cores and memory apply to the Go runtime

	mu                sync.Mutex // guards the fields below, and orders updates of the listener and the router
	cores             float64
	memoryMB          int
	hasPredecessor    bool // the process that this one replaces is still running
	hasSuccessor      bool // a process that replaces this one is running
	upstreamWithdrawn int  // upstream connections taken from the router's budget while the process shares it
}

// update changes the inputs of the budget and applies the result.
func (b *resourceBudget) update(change func(b *resourceBudget)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(b)
	b.apply()
}

// apply gives the client listener, the router and the Go runtime their parts. The caller holds the lock.
func (b *resourceBudget) apply() {
	clients, withdrawn, memoryMB := b.sockets.clients, 0, b.memoryMB
	if b.hasPredecessor || b.hasSuccessor {
		clients = max((clients-reservedSockets)/3, clients/4)
		withdrawn = (b.sockets.upstream + 1) / 2
		memoryMB /= 2
	}
	if b.hasPredecessor && !b.hasSuccessor {
		clients *= 2
	}
	if withdrawn != b.upstreamWithdrawn {
		b.router.ResizeSockets(b.upstreamWithdrawn - withdrawn)
		b.upstreamWithdrawn = withdrawn
	}
	b.clientListener.SetLimits(clients, min(b.sockets.served, clients))
	b.clientListener.SetMemory(memoryMB)
	if b.limitsRuntime {
		limitRuntime(b.cores, memoryMB)
	}
}

// limitRuntime bounds the threads that run Go code, and has the garbage collector run more often once two thirds of
// the memory are used.
func limitRuntime(cores float64, memoryMB int) {
	runtime.GOMAXPROCS(max(int(math.Ceil(cores)), 1))
	debug.SetMemoryLimit(int64(memoryMB) << 20 * 2 / 3)
}
