package systemerror

import (
	"errors"
	"net"
	"time"
)

// acceptRetryDelay is the delay between a failed accept and the next one.
const acceptRetryDelay = 5 * time.Millisecond

// AcceptPersistently calls accept until it returns a connection, and fails only if the listener is closed. It retries
// after every other error, because the next call may succeed.
func AcceptPersistently[Conn any](accept func() (Conn, error)) (Conn, error) {
	for {
		conn, err := accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		time.Sleep(acceptRetryDelay)
	}
}
