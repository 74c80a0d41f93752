package server

import (
	"math"
	"runtime"
	"runtime/debug"
	"sync"

	"woodproxy/internal/proxy"
)

// reservedSockets is the number of descriptors for the standard streams, listeners, the watch at discovery, admin calls,
// the hot-restart socket and the Go runtime.
const reservedSockets = 24

// socketBudget holds the maximum number of sockets for each use.
type socketBudget struct {
	upstream int // connections to cache servers and the origin
	clients  int // client connections
	served   int // client connections that may stay open after a request on them was answered
}

// divideSockets divides the descriptors. Clients have three fifths of the descriptors that are not reserved. Clients that
// send one request and keep their connection could use up all of these, and no other client could send a request although
// the proxy has capacity. Therefore at most a quarter of all descriptors is available to connections of this kind.
func divideSockets(sockets int) socketBudget {
	upstream := (sockets - reservedSockets) * 2 / 5
	return socketBudget{upstream: upstream, clients: sockets - reservedSockets - upstream, served: sockets / 4}
}

// resourceBudget limits the sockets, memory and cores of this process. During a hot restart two processes share the
// budget of one process: the successor gets half of the upstream connections and two thirds of the client connections,
// the predecessor keeps the rest, and each process gets half of the memory.
type resourceBudget struct {
	sockets        socketBudget
	clientListener *proxy.Listener
	router         *proxy.Router
	limitsRuntime  bool // the limits of cores and memory are applied to the Go runtime

	mu                sync.Mutex // guards the fields below, and serializes updates of the listener and the router
	cores             float64
	memoryMB          int
	hasPredecessor    bool // the predecessor is still running
	hasSuccessor      bool // a successor is running
	upstreamWithdrawn int  // upstream connections withdrawn from the router during a hot restart
}

// update changes the inputs of the budget by the function and applies the resulting limits.
func (b *resourceBudget) update(change func(b *resourceBudget)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(b)
	b.apply()
}

// apply sets the limits of the client listener, the router and the Go runtime. The caller holds the lock.
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

// limitRuntime limits the number of threads that run Go code, and sets the soft memory limit of the Go runtime to two
// thirds of the memory: beyond that the garbage collector runs more often.
func limitRuntime(cores float64, memoryMB int) {
	runtime.GOMAXPROCS(max(int(math.Ceil(cores)), 1))
	debug.SetMemoryLimit(int64(memoryMB) << 20 * 2 / 3)
}
