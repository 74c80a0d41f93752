package proxy

import (
	"errors"

	"woodproxy/internal/wire"

	"go.uber.org/zap"
)

// closeReason is why a client connection has ended.
type closeReason uint8

const (
	closedByClient       closeReason = iota // it has closed its side, or the connection has failed
	closedByPhase                           // by a drain, an eviction or the process's end
	closedIdle                              // no command for the idle timeout
	closedNoFirstCommand                    // no first command in time
	closedPartialCommand                    // a command did not come whole in time
	closedBadInput                          // what it sent is no command
	closedStreamBroken                      // the value that was passed on broke off
	closedByPanic                           // a mistake of this program
	numCloseReasons
)

var closeReasonNames = [numCloseReasons]string{
	closedByClient:       "client",
	closedByPhase:        "drain_or_eviction",
	closedIdle:           "idle",
	closedNoFirstCommand: "no_first_command",
	closedPartialCommand: "partial_command",
	closedBadInput:       "bad_input",
	closedStreamBroken:   "stream_broken",
	closedByPanic:        "panic",
}

// String returns the reason in logs and metrics.
func (r closeReason) String() string { return closeReasonNames[r%numCloseReasons] }

// closeReasonOf returns the reason by the error that ended the serving of a connection.
func closeReasonOf(err error) closeReason {
	for _, known := range [...]struct {
		err    error
		reason closeReason
	}{
		{errClosing, closedByPhase},
		{errIdle, closedIdle},
		{errNoFirstCommand, closedNoFirstCommand},
		{errPartialCommand, closedPartialCommand},
		{wire.ErrProtocol, closedBadInput},
		{errStreamBroken, closedStreamBroken},
	} {
		if errors.Is(err, known.err) {
			return known.reason
		}
	}
	return closedByClient
}

// recordClose counts why the connection has ended, and checks that no request is left without a reply by that.
func (c *clientConn) recordClose(reason closeReason, pending []*request) {
	counters := c.listener.counters
	counters.Closes[reason].Add(1)
	var unanswered [][]byte
	for _, req := range pending {
		if req.proxied && !req.ready {
			unanswered = append(unanswered, req.id)
		}
	}
	if len(unanswered) == 0 || reason == closedByClient {
		return
	}
	cutOff := reason == closedStreamBroken || c.writeFailed // which the client sees
	counters.Invariants.ClientConnClosed(unanswered, cutOff, reason.String())
	c.listener.log.Warn("client connection closed with requests unanswered",
		zap.Stringer("reason", reason), zap.ByteStrings("ids", unanswered))
}
