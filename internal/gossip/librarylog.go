package gossip

import (
	"bytes"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// libraryLogInterval is the shortest time between two log lines of memberlist's errors: a peer can cause many.
const libraryLogInterval = 20 * time.Second

// libraryLog is the output of memberlist's logger. It counts errors and warnings, logs one of them now and then, and
// drops all other lines. The logger serializes the calls of Write.
type libraryLog struct {
	logger     *zap.Logger
	faults     *atomic.Int64
	lastLogged time.Time
}

// Write takes one line. It never fails.
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
