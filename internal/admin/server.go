package admin

import (
	"io"
	"log"
	"net"
	"net/http"
	"time"
)

const (
	readTimeout     = 2 * time.Second // to read a call; its answer may take as long again
	maxHeaderBytes  = 4 << 10         // net/http reads a little more than this
	maxConnections  = 8               // at once; one more evicts the oldest
	writeTimeout   = 2 * readTimeout // from the end of a call's header to the end of its answer
	planReadTimeout = 10 * time.Second
	planWriteTimeout     = 2 * planReadTimeout // from the header's end to the end of the plan
)

// Server is the operators' listener with its connections.
type Server struct {
	http     *http.Server
	listener net.Listener
}

// Listen binds the TCP address. Calls are answered from Run on.
func Listen(addr string, service Service) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err // it names the operation and the address
	}
	server := &http.Server{
		Handler:           newHandler(service),
		ReadTimeout:       readTimeout,
		ReadHeaderTimeout: readTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0), // callers must not fill the log with malformed headers
	}
	server.SetKeepAlivesEnabled(false) // one call a connection, so that an idle caller holds no place
	return &Server{http: server, listener: newConnLimiter(listener, maxConnections)}, nil
}

// Run answers calls and returns after Close. It is to be called once.
func (s *Server) Run() {
	_ = s.http.Serve(s.listener) // always an error: http.ErrServerClosed, or that the listener failed and there are no calls
}

// Close closes the listener and all connections. Calls that are being answered are cut off.
func (s *Server) Close() {
	_ = s.http.Close() // the process is stopping; the sockets are gone with it at the latest
}
