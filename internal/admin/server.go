package admin

import (
	"io"
	"log"
	"net"
	"net/http"
	"time"
)

const (
	readTimeout      = 2 * time.Second     // for reading a request; handling it may take as long again
	maxHeaderBytes   = 4 << 10             // net/http reads up to 4 KiB more than this
	maxConnections   = 8                   // maximum number of open connections; a further one evicts the oldest
	writeTimeout     = 2 * readTimeout     // from the end of the request header to the end of the response
	planReadTimeout  = 10 * time.Second    // from the end of the request header to the end of the inventory
	planWriteTimeout = 2 * planReadTimeout // from the end of the request header to the end of the plan
)

// Server is the admin server: a listener for operators and the connections accepted from it.
type Server struct {
	http     *http.Server
	listener net.Listener
}

// Listen binds the TCP address addr. Requests are served once [Server.Run] is called.
func Listen(addr string, service Service) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err // the error names the operation and the address
	}
	server := &http.Server{
		Handler:           newHandler(service),
		ReadTimeout:       readTimeout,
		ReadHeaderTimeout: readTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0), // malformed headers must not let callers flood the log
	}
	server.SetKeepAlivesEnabled(false) // one request per connection, so that an idle caller occupies no slot
	return &Server{http: server, listener: newConnLimiter(listener, maxConnections)}, nil
}

// Run serves requests until [Server.Close] is called. It must be called only once.
func (s *Server) Run() {
	// Serve always returns an error: http.ErrServerClosed, or that of a failed listener, which accepts no more connections.
	_ = s.http.Serve(s.listener)
}

// Close closes the listener and all connections, including those with a request in progress.
func (s *Server) Close() {
	_ = s.http.Close() // the process is stopping, and the kernel closes its sockets at exit at the latest
}
