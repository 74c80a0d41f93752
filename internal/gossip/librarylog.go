package gossip

import (
	"bytes"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// libraryLogInterval is the minimum time between two logged errors or warnings of memberlist. It limits log volume, as a
// single peer can cause many errors.
const libraryLogInterval = 20 * time.Second

// libraryLog is the writer to which memberlist's logger writes. It counts errors and warnings, logs at most one of them
// per libraryLogInterval, and drops all other lines. It is not safe for concurrent use; log.Logger serializes the calls of
// Write.
type libraryLog struct {
	logger     *zap.Logger
	faults     *atomic.Int64 // Counters.Faults
	lastLogged time.Time
}

// Write handles one line of the log. It never fails.
func (l *libraryLog) Write(line []byte) (int, error) {
	text := bytes.TrimSpace(line)
	if !bytes.HasPrefix(text, []byte("[ERR]")) && !bytes.HasPrefix(text, []byte("[WARN]")) {
		return len(line), nil
	}
	faults := l.faults.Add(1)
	if time.Since(l.lastLogged) > libraryLogInterval {
		l.lastLogged = time.Now()
		l.logger.Warn("peers: "+string(text), zap.Int64("troubles", faults))
	}
	return len(line), nil
}
