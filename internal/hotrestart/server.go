package hotrestart

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"
)

// Server passes the listener and the endpoint list of this process to its successors. All methods may be called from any
// goroutine.
//
// The connection of each successor is served by a goroutine that runs until the successor or this process exits.
// [Server.Close] does not end the goroutine, since the successor takes the end of the connection as the exit of this
// process.
type Server struct {
	listen       string
	listener     *net.TCPListener
	endpointList func() []byte
	log          *zap.Logger
	socket       restartSocket
	successors   successors
	exchange     ExecutedExchange
	senders      executedSenders
}

// NewServer returns a server that accepts successors once [Server.Open] is called. The directory dir is the one that the
// processes share, listen is the address that clients connect to, and ln is the client listener.
//
// The server calls list for each successor; list returns the endpoint list as JSON, or "null" or nil if there is none. It
// calls notify at each change of the number of successors, with the number of processes that hold the listener and the
// number of those that accept clients. Calls of notify don't overlap. notify must not call methods of the server.
func NewServer(
	dir, listen string, ln *net.TCPListener, list func() []byte, notify func(holding, serving int), exchange ExecutedExchange,
	log *zap.Logger,
) *Server {
	s := &Server{
		listen: listen, listener: ln, endpointList: list, log: log, successors: successors{notify: notify}, exchange: exchange,
	}
	s.socket = restartSocket{dir: dir, listen: listen, handle: s.serveSuccessor}
	return s
}

// Open starts accepting successors. It takes over the socket's name from the predecessor of this process, if there is one.
// It fails if the socket can't be bound or the server is closed.
func (s *Server) Open() error { return s.socket.bind() }

// serveSuccessor serves the connection of one successor from its hello until the successor exits.
func (s *Server) serveSuccessor(conn *net.UnixConn) {
	defer func() { _ = conn.Close() }() // all messages were exchanged, or the error is logged
	successor, err := s.sendOffer(conn)
	if err != nil {
		s.log.Warn("listener not passed to successor", zap.Error(err))
		return
	}
	s.log.Info("listener passed to successor")
	if successor.ReadsHashes {
		sender := newExecutedSender(conn)
		defer sender.close()
		defer s.senders.add(sender)()
		s.exchange.Recent(sender.send)
	}
	messages := newMessageReader(conn, s.exchange.Received)
	s.successors.add(1, 0)
	if awaitServing(conn, messages) {
		s.log.Info("successor is serving")
		s.successors.add(0, 1)
		messages.awaitEnd()
		s.successors.add(-1, -1)
	} else {
		s.successors.add(-1, 0)
	}
	s.reopen()
}

// reopen binds the socket again after a successor has exited, since the successor may have taken over the socket's name. It
// does nothing if the server is closed.
func (s *Server) reopen() {
	err := s.socket.bind()
	if errors.Is(err, errSocketClosed) {
		return
	}
	s.log.Warn("successor disconnected")
	if err != nil {
		s.log.Warn("hot-restart socket not reopened; no successor can be accepted", zap.Error(err))
	}
}

// sendOffer reads the hello of a successor, replies with the offer and returns the hello.
func (s *Server) sendOffer(conn *net.UnixConn) (hello, error) {
	if err := checkPeerUser(conn); err != nil {
		return hello{}, err
	}
	if err := conn.SetDeadline(time.Now().Add(messageTimeout)); err != nil {
		return hello{}, fmt.Errorf("set deadline: %w", err)
	}
	line, err := bufio.NewReaderSize(conn, maxHelloBytes).ReadSlice('\n')
	if err != nil {
		return hello{}, fmt.Errorf("receive hello: %w", err)
	}
	successor, err := decodeHello(line, s.listen)
	if err != nil {
		return hello{}, err
	}
	message, err := encodeOffer(s.listen, s.endpointList())
	if err != nil {
		return hello{}, err
	}
	if err := sendWithListener(conn, message, s.listener); err != nil {
		return hello{}, fmt.Errorf("send offer: %w", err)
	}
	return successor, nil
}

// awaitServing waits without a deadline for the serving message of a successor. It returns false if the connection ends
// before the message or another message arrives.
func awaitServing(conn *net.UnixConn, messages *messageReader) bool {
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	message, err := messages.next()
	return err == nil && message == servingMessage
}

// SendExecuted sends the hash of the id of a request that must not run twice to all successors. It does not block.
func (s *Server) SendExecuted(hash uint64) { s.senders.send(hash) }

// SuccessorCount returns the number of connected successors that hold the listener.
func (s *Server) SuccessorCount() int { return s.successors.count() }

// Close stops accepting successors. It removes the socket's file unless there is a successor, which has taken over the
// socket's name. Close may be called more than once.
func (s *Server) Close() {
	s.socket.close(s.successors.count() == 0)
}
