package hotrestart

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"path/filepath"
	"sync"

	"woodproxy/internal/systemerror"
)

// errSocketClosed reports that the socket can't be bound since the server is closed: a process that is stopping accepts no
// successor.
var errSocketClosed = errors.New("restart socket is closed")

// socketName returns the file name of the socket of the process that serves the address listen.
func socketName(listen string) string {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(listen)) // Write of a hash.Hash never fails
	return fmt.Sprintf("woodproxy-%016x.sock", hash.Sum64())
}

// socketPath returns a path of the socket that is valid while dir is open. It goes through the descriptor of dir, since the
// path of a Unix socket is limited in length and the path of the directory may be longer.
func socketPath(dir *os.File, listen string) string {
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), socketName(listen))
}

// restartSocket is the Unix socket on which this process accepts successors. Connections go to the process that bound the
// socket's name last: a successor takes over the name to accept its own successors.
type restartSocket struct {
	dir    string
	listen string              // address that clients connect to
	handle func(*net.UnixConn) // called on a goroutine of its own for each connection, which it closes

	accepting sync.WaitGroup // goroutines running accept

	mu       sync.Mutex
	listener *net.UnixListener // nil before the first call of bind
	closed   bool
}

// bind takes over the socket's name from the process that holds it, if any, and starts accepting connections. It returns
// errSocketClosed after close.
func (s *restartSocket) bind() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errSocketClosed
	}
	dir, err := os.Open(s.dir)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }() // the directory was opened for reading
	path := socketPath(dir, s.listen)
	_ = os.Remove(path) // the file may not exist; if it can't be removed, listening fails
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return err
	}
	listener.SetUnlinkOnClose(false) // another process may have taken over the name by then
	_ = os.Chmod(path, 0o600)        // additional to checkPeerUser; may fail if another process has just taken over the name
	s.closeListener()
	s.listener = listener
	s.accepting.Go(func() { s.accept(listener) })
	return nil
}

// unixAcceptor is the method of net.UnixListener that accept needs. Tests replace the listener.
type unixAcceptor interface {
	AcceptUnix() (*net.UnixConn, error)
}

// accept passes connections to handle until the listener is closed. It retries after any other error, since a successor may
// connect later.
func (s *restartSocket) accept(listener unixAcceptor) {
	for {
		conn, err := systemerror.AcceptPersistently(listener.AcceptUnix)
		if err != nil {
			return
		}
		go s.handle(conn)
	}
}

// close stops accepting connections for good and waits for the goroutines that accept. With removeName it also removes the
// socket's file, on which the next process would be refused.
func (s *restartSocket) close(removeName bool) {
	s.mu.Lock()
	s.closed = true
	s.closeListener()
	if removeName {
		// A failure is harmless: a leftover socket refuses connections.
		_ = os.Remove(filepath.Join(s.dir, socketName(s.listen)))
	}
	s.mu.Unlock()
	s.accepting.Wait()
}

// closeListener closes the listener if there is one. The caller must hold mu.
func (s *restartSocket) closeListener() {
	if s.listener != nil {
		_ = s.listener.Close() // no data is written to the listener, and its file stays
	}
}
