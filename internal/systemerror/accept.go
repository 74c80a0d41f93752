package systemerror

import (
	"errors"
	"net"
	"time"
)

// acceptRetryDelay is how long it takes until accepting is tried again that has failed.
const acceptRetryDelay = 5 * time.Millisecond

// AcceptPersistently accepts a connection, and fails only if the listener is closed: whatever else accept says, the next
// call may find one.
func AcceptPersistently[Conn any](accept func() (Conn, error)) (Conn, error) {
	for {
		conn, err := accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		time.Sleep(acceptRetryDelay)
	}
}
