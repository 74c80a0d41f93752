package lifecycle

// ClosePhase is the phase of closing a client connection. A connection only moves to later phases.
type ClosePhase uint8

// Phases of client connections.
const (
	PhaseOpen            ClosePhase = iota // no close was requested
	PhaseCloseAfterReply                   // closed immediately after its next reply, so that no request crosses the close
	PhaseCloseWhenIdle                     // closed once no reply is pending
	PhaseStopReading                       // reads no further command; closed once no reply is pending
)

var phaseNames = [...]string{"open", "close_after_reply", "close_when_idle", "stop_reading"}

// String returns the phase's name in logs.
func (p ClosePhase) String() string { return phaseNames[int(p)%len(phaseNames)] }

// ClientConnConditions holds the conditions under which a client connection may be closed between commands or read from.
type ClientConnConditions struct {
	Phase           ClosePhase
	PendingReplies  int  // number of requests without a complete reply
	MaxPending      int  // maximum of PendingReplies
	AnsweredRequest bool // a proxied request was answered since the phase was last checked
	CommandPartial  bool // a command or a value has been read only in part
	InputUnread     bool // bytes have been received that were not read
}

// MayClose decides whether the connection may be closed in its current phase. Input that has been received must be read
// and answered first. Once the connection reads no more, [ClientConnConditions.MayCloseUnread] applies instead, and the
// client has to resend such input on another connection.
func (c *ClientConnConditions) MayClose() Refusal {
	switch {
	case c.PendingReplies > 0:
		return RepliesPending
	case c.Phase == PhaseOpen, c.Phase == PhaseCloseAfterReply && !c.AnsweredRequest:
		// Only the reply to a proxied request counts as the next reply, because clients use PING to query the proxy's state.
		return PhaseTooEarly
	case c.CommandPartial:
		return CommandIncomplete
	case c.InputUnread:
		return InputUnread
	}
	return Permitted
}

// MayCloseUnread decides whether a connection that reads no more may be closed, even if input is unread.
func (c *ClientConnConditions) MayCloseUnread() Refusal {
	switch {
	case c.PendingReplies > 0:
		return RepliesPending
	case c.Phase != PhaseStopReading:
		return PhaseTooEarly
	}
	return Permitted
}

// MayExpire decides whether the connection may be closed on a timeout, because the client has sent no command or has not
// completed its command in time. Input that has been received by then must be read first.
func (c *ClientConnConditions) MayExpire() Refusal {
	switch {
	case c.InputUnread:
		return InputUnread
	case c.PendingReplies > 0 && !c.CommandPartial:
		return RepliesPending
	}
	return Permitted
}

// MayRead decides whether the connection may be read from. Reading is refused if it would exceed the maximum number of
// pending replies, or if no further command may be read.
func (c *ClientConnConditions) MayRead() Refusal {
	switch {
	case c.Phase == PhaseStopReading:
		return ReadingStopped
	case c.PendingReplies >= c.MaxPending:
		return PendingLimit
	}
	return Permitted
}

// ExitConditions holds the conditions under which the process may exit after it was requested to stop.
type ExitConditions struct {
	Accepting        bool // the listener may still accept a connection
	OpenConnections  int  // number of open client connections
	DeadlineExceeded bool // the drain deadline has passed
}

// MayExit decides whether the process may exit.
func (c *ExitConditions) MayExit() Refusal {
	if !c.DeadlineExceeded && (c.Accepting || c.OpenConnections > 0) {
		return ConnectionsOpen
	}
	return Permitted
}
