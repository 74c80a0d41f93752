package server

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"woodproxy/internal/hotrestart"
	"woodproxy/internal/systemerror"
	"woodproxy/internal/wire"

	"go.uber.org/zap"
)

// soReusePort is the socket option SO_REUSEPORT, which package syscall does not define. It allows a second process to
// listen on the same address.
const soReusePort = 15

// openListener inherits the listener of the predecessor. If there is no predecessor, or its listener can't be inherited,
// it opens a new listener and returns a nil predecessor. A predecessor that does not hand over its listener may still be
// running: both processes listen then, and the kernel distributes clients among them.
func openListener(config *Config, log *zap.Logger) (*net.TCPListener, *hotrestart.Predecessor, error) {
	if config.HotRestartDir != "" {
		predecessor, err := hotrestart.TakeOver(config.HotRestartDir, config.Listen)
		if err == nil {
			log.Info("listener inherited from predecessor", zap.Int("list", len(predecessor.EndpointList)))
			return predecessor.Listener, predecessor, nil
		}
		if !errors.Is(err, hotrestart.ErrNoPredecessor) {
			log.Warn("listener not inherited from predecessor", zap.Error(err))
		}
	}
	listener, err := listenWithRetry(config.Listen, listenReusingPort)
	if err != nil {
		return nil, nil, fmt.Errorf("configuration: listen: %w", err)
	}
	return listener, nil, nil
}

// Retries of a step of the start that fails with a transient error of this machine, for example a lack of descriptors.
const (
	startRetryTime  = 7 * time.Second // a process has to serve clients 10 s after its start
	startRetryDelay = 20 * time.Millisecond
)

// retryStart calls a function until it succeeds, fails with an error that is not transient, or startRetryTime is over.
// It returns the last error.
func retryStart(call func() error) error {
	for end := time.Now().Add(startRetryTime); ; time.Sleep(startRetryDelay) {
		err := call()
		if err == nil || !systemerror.IsTransient(err) || time.Now().After(end) {
			return err
		}
	}
}

// listenWithRetry listens on an address, with retries after transient errors.
func listenWithRetry(address string, listen func(string) (*net.TCPListener, error)) (listener *net.TCPListener, err error) {
	err = retryStart(func() error {
		listener, err = listen(address)
		return err
	})
	return listener, err
}

func listenReusingPort(address string) (*net.TCPListener, error) {
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		return conn.Control(func(fd uintptr) {
			// If this fails, the process can still listen as long as no other process does.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}

// offerListener starts to offer the listener and the endpoint list to successors. Without a directory for the
// hot-restart socket, no successor can inherit them.
func (s *server) offerListener(listener *net.TCPListener) *hotrestart.Server {
	onChange := func(successors, serving int) {
		s.resources.update(func(b *resourceBudget) { b.hasSuccessor = successors > 0 })
		s.clientListener.Pause(serving > 0)
	}
	exchange := hotrestart.ExecutedExchange{Received: s.router.AddExecuted, Recent: s.router.EachExecuted}
	offer := hotrestart.NewServer(s.config.HotRestartDir, s.config.Listen, listener, s.encodeEndpoints, onChange, exchange, s.log)
	if s.config.HotRestartDir != "" {
		if err := offer.Open(); err != nil {
			s.log.Warn("hot-restart socket not opened; the listener can't be handed over", zap.Error(err))
		}
	}
	return offer
}

// exchangeExecuted makes this process and its predecessor and successors tell each other the ids of requests that must not
// run twice, so that a request that comes again at another process is not sent again.
func (s *server) exchangeExecuted() {
	s.router.SetExecutedNotifier(func(hash uint64) {
		s.successors.SendExecuted(hash)
		if s.predecessor != nil {
			s.predecessor.SendExecuted(hash)
		}
	})
	if s.predecessor == nil {
		return
	}
	s.predecessorExited = make(chan struct{})
	go func() { // until the predecessor exits
		s.predecessor.WaitForExit(s.router.AddExecuted)
		close(s.predecessorExited)
	}()
}

// encodeEndpoints returns the current endpoint list in the format of discovery, or null if there is none.
func (s *server) encodeEndpoints() []byte {
	if endpoints := s.router.Endpoints(); endpoints != nil {
		return wire.AppendEndpointList(nil, endpoints)
	}
	return []byte("null")
}

// inheritedEndpoints returns the endpoint list of the predecessor, or nil if there is none or it can't be decoded.
func inheritedEndpoints(predecessor *hotrestart.Predecessor, log *zap.Logger) *wire.EndpointList {
	if predecessor == nil || predecessor.EndpointList == nil {
		return nil
	}
	list, err := wire.ReadEndpointList(bytes.NewReader(predecessor.EndpointList))
	predecessor.EndpointList = nil // releases the memory: the predecessor stays referenced until it has exited
	if err != nil {
		log.Warn("endpoint list not inherited from predecessor", zap.Error(err))
		return nil
	}
	return list
}

// awaitPredecessorExit notifies the predecessor that this process serves clients and waits until the predecessor has
// exited. It then takes over the complete resource budget and starts gossip on the address that has become free.
func (s *server) awaitPredecessorExit(predecessor *hotrestart.Predecessor) {
	if err := predecessor.NotifyServing(); err != nil {
		predecessor.Disconnect() // the predecessor has exited
	}
	<-s.predecessorExited
	s.resources.update(func(b *resourceBudget) { b.hasPredecessor = false })
	s.log.Info("predecessor process has exited")
	if err := retryStart(s.gossip.start); err != nil {
		s.log.Error("gossip not started", zap.Error(err))
	}
}
