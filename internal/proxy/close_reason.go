package proxy

import (
	"errors"

	"woodproxy/internal/wire"

	"go.uber.org/zap"
)

// closeReason is the reason why a client connection has ended.
type closeReason uint8

const (
	closedByClient       closeReason = iota // the client closed its side, or the connection failed
	closedByPhase                           // closed by a drain, an eviction or the shutdown of the process
	closedIdle                              // no command within the idle timeout
	closedNoFirstCommand                    // no first command within its timeout
	closedPartialCommand                    // a command was not complete within its timeout
	closedBadInput                          // the client sent bytes that are not a command
	closedStreamBroken                      // a streamed value ended early
	closedByPanic                           // a bug in the proxy
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

// String returns the name of the reason in logs and metrics.
func (r closeReason) String() string { return closeReasonNames[r%numCloseReasons] }

// closeReasonOf returns the close reason for an error that serve returned.
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

// recordClose counts the reason why the connection has ended, and checks that no request was left without a reply unless
// the client closed the connection.
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
	cutOff := reason == closedStreamBroken || c.writeFailed // the client can detect the missing replies
	counters.Invariants.ClientConnClosed(unanswered, cutOff, reason.String())
	c.listener.log.Warn("client connection closed with requests unanswered",
		zap.Stringer("reason", reason), zap.ByteStrings("ids", unanswered))
}
