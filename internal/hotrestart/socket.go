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

// errSocketClosed reports that the process stops and is not to be replaced any more.
var errSocketClosed = errors.New("restart socket is closed")

// socketName is the file name at which the process that serves the address is reached.
func socketName(listen string) string {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(listen)) // a hash.Hash never fails
	return fmt.Sprintf("woodproxy-%016x.sock", hash.Sum64())
}

// socketPath is the path of the socket, valid for as long as the directory is open. It leads through the open directory since a
// Unix socket's path has to be short and the directory's may be longer.
func socketPath(dir *os.File, listen string) string {
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), socketName(listen))
}

// restartSocket is the Unix socket at which successors reach this process. Whichever process bound it last is reached: a
// successor takes the name over for its own successors.
type restartSocket struct {
	dir    string
	listen string              // the address that clients connect to
	handle func(*net.UnixConn) // runs on a goroutine of each connection, which it closes

	accepting sync.WaitGroup // the goroutines in accept

	mu       sync.Mutex
	listener *net.UnixListener // nil before the first bind
	closed   bool
}

// bind takes the socket's name over from whichever process had it, and accepts connections there.
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
	defer func() { _ = dir.Close() }() // only read
	path := socketPath(dir, s.listen)
	_ = os.Remove(path) // there may be none; if it can't be removed, listening fails
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return err
	}
	listener.SetUnlinkOnClose(false) // the name may be another process's by then
	_ = os.Chmod(path, 0o600)        // a second guard beside checkPeerUser; fails if another process has just taken the name
	s.closeListener()
	s.listener = listener
	s.accepting.Go(func() { s.accept(listener) })
	return nil
}

// unixAcceptor accepts connections, as net.UnixListener does.
type unixAcceptor interface {
	AcceptUnix() (*net.UnixConn, error)
}

// accept handles connections until the listener is closed. Any other error passes: a successor may still come.
func (s *restartSocket) accept(listener unixAcceptor) {
	for {
		conn, err := systemerror.AcceptPersistently(listener.AcceptUnix)
		if err != nil {
			return
		}
		go s.handle(conn)
	}
}

// close ends accepting, for good. With removeName the name goes too, or the next process would find it refused.
func (s *restartSocket) close(removeName bool) {
	s.mu.Lock()
	s.closed = true
	s.closeListener()
	if removeName {
		_ = os.Remove(filepath.Join(s.dir, socketName(s.listen))) // a name left behind is refused, which does no harm
	}
	s.mu.Unlock()
	s.accepting.Wait()
}

// closeListener closes the listener, if there is one. The caller holds mu.
func (s *restartSocket) closeListener() {
	if s.listener != nil {
		_ = s.listener.Close() // nothing is written there, and the name stays
	}
}
