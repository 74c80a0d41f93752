package hotrestart

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"
)

// Server passes this process's listener and list to its successors. All of its methods may be called from any goroutine.
//
// Each successor's connection is served by a goroutine that lives until the successor exits or this process does. [Server.Close]
// does not end it, since the end of the connection tells the successor that this process has exited.
type Server struct {
	listen     string
	listener   *net.TCPListener
	endpointList       func() []byte
	log        *zap.Logger
	socket     restartSocket
	successors successors
}

// NewServer returns the server for successors, which accepts none before [Server.Open]. The directory is where processes meet, listen
// is the address that clients connect to and ln their listener. list returns the endpoint list as JSON, "null" or nil where
// there is none; it is called for each successor. notify is called at each change of the number of successors, with how many
// hold the listener and how many of those serve; calls don't overlap, and it must not call the server's methods.
func NewServer(dir, listen string, ln *net.TCPListener, list func() []byte, notify func(holding, serving int), log *zap.Logger) *Server {
	s := &Server{listen: listen, listener: ln, endpointList: list, log: log, successors: successors{notify: notify}}
	s.socket = restartSocket{dir: dir, listen: listen, handle: s.serveSuccessor}
	return s
}

// Open accepts successors from now on. It takes the socket's name over from the process's own predecessor.
func (s *Server) Open() error { return s.socket.bind() }

// serveSuccessor follows one successor from its hello until it exits.
func (s *Server) serveSuccessor(conn *net.UnixConn) {
	defer func() { _ = conn.Close() }() // all is said, or the error is logged
	if err := s.sendOffer(conn); err != nil {
		s.log.Warn("listener not passed to successor", zap.Error(err))
		return
	}
	s.log.Info("listener passed to successor")
	s.successors.add(1, 0)
	if awaitServing(conn) {
		s.log.Info("successor is serving")
		s.successors.add(0, 1)
		waitForEnd(conn)
		s.successors.add(-1, -1)
	} else {
		s.successors.add(-1, 0)
	}
	s.reopen()
}

// reopen takes back the socket's name, which a successor that has gone may have taken over. A process that is stopping leaves
// it.
func (s *Server) reopen() {
	err := s.socket.bind()
	if errors.Is(err, errSocketClosed) {
		return
	}
	s.log.Warn("successor disconnected")
	if err != nil {
		s.log.Warn("cannot accept a successor", zap.Error(err))
	}
}

// sendOffer reads a successor's hello and answers it.
func (s *Server) sendOffer(conn *net.UnixConn) error {
	if err := checkPeerUser(conn); err != nil {
		return err
	}
	if err := conn.SetDeadline(time.Now().Add(messageTimeout)); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	line, err := bufio.NewReaderSize(conn, maxHelloBytes).ReadSlice('\n')
	if err != nil {
		return fmt.Errorf("receive hello: %w", err)
	}
	if err := decodeHello(line, s.listen); err != nil {
		return err
	}
	answer, err := encodeOffer(s.listen, s.endpointList())
	if err != nil {
		return err
	}
	if err := sendWithListener(conn, answer, s.listener); err != nil {
		return fmt.Errorf("send offer: %w", err)
	}
	return nil
}

// awaitServing reports whether the successor says that it serves, however long that takes, before its connection ends.
func awaitServing(conn *net.UnixConn) bool {
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return false
	}
	message, err := bufio.NewReaderSize(conn, len(servingMessage)).ReadString('\n')
	return err == nil && message == servingMessage
}

// SuccessorCount returns how many successors hold the listener too.
func (s *Server) SuccessorCount() int { return s.successors.count() }

// Close accepts no successor any more. The socket's name stays where there is a successor, which has taken it over. Close may
// be called again.
func (s *Server) Close() {
	s.socket.close(s.successors.count() == 0)
}
