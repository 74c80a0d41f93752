package lifecycle

// ClosePhase is how far a client connection is on its way to being closed. A connection only moves to later phases.
type ClosePhase uint8

// Phases of client connections.
const (
	PhaseOpen            ClosePhase = iota
	PhaseCloseAfterReply            // closed right after its next reply, so that no request can cross the close
	PhaseCloseWhenIdle              // closed once no reply is pending
	PhaseStopReading                // reads no further command; closed once no reply is pending
)

var phaseNames = [...]string{"open", "close_after_reply", "close_when_idle", "stop_reading"}

// String returns the phase's name in logs.
func (p ClosePhase) String() string { return phaseNames[int(p)%len(phaseNames)] }

// ClientConnConditions are what decides whether a client connection may be closed between commands, or be read from.
type ClientConnConditions struct {
	Phase           ClosePhase
	PendingReplies  int
	MaxPending      int
	AnsweredRequest bool // a proxied request was answered since the phase was last looked at
	CommandPartial  bool // a command, or a value, has been read in part
	InputUnread     bool // bytes have arrived that were not read
}

// MayClose decides whether the connection may be closed now by its phase. Where nothing more is read, bytes that have
// arrived meanwhile are the client's to send again elsewhere; else they are read and answered first.
func (c *ClientConnConditions) MayClose() Refusal {
	switch {
	case c.PendingReplies > 0:
		return RepliesPending
	case c.Phase == PhaseOpen, c.Phase == PhaseCloseAfterReply && !c.AnsweredRequest:
		// Only the reply to a proxied request counts as the next one: PING is how clients ask for the state of the proxy.
		return PhaseTooEarly
	case c.CommandPartial:
		return CommandIncomplete
	case c.InputUnread:
		return InputUnread
	}
	return Permitted
}

// MayCloseUnread is MayClose for a connection on which nothing more is read.
func (c *ClientConnConditions) MayCloseUnread() Refusal {
	switch {
	case c.PendingReplies > 0:
		return RepliesPending
	case c.Phase != PhaseStopReading:
		return PhaseTooEarly
	}
	return Permitted
}

// MayExpire decides whether the connection may be closed because the client has sent nothing, or no more of its
// command, for the time that it has for that. What has arrived by then is read first.
func (c *ClientConnConditions) MayExpire() Refusal {
	switch {
	case c.InputUnread:
		return InputUnread
	case c.PendingReplies > 0 && !c.CommandPartial:
		return RepliesPending
	}
	return Permitted
}

// MayRead decides whether more may be read: to read on would overflow the buffer, or take a command that is not to be
// taken any more.
func (c *ClientConnConditions) MayRead() Refusal {
	switch {
	case c.Phase == PhaseStopReading:
		return ReadingStopped
	case c.PendingReplies >= c.MaxPending:
		return PendingLimit
	}
	return Permitted
}

// UpstreamConnConditions are what decides whether an upstream connection may carry another attempt.
type UpstreamConnConditions struct {
	ResponseComplete bool // the last response was read to its end and does not end with the connection
	UnexpectedInput  bool // there are bytes that answer nothing
	ClosedByPeer     bool
}

// MayReuse decides whether the connection may carry another attempt.
func (c *UpstreamConnConditions) MayReuse() Refusal {
	switch {
	case c.UnexpectedInput:
		return UnexpectedInput
	case c.ClosedByPeer:
		return ConnectionClosed
	case !c.ResponseComplete:
		return ResponseIncomplete
	}
	return Permitted
}

// WatchConditions are what decides whether a watch of discovery may be opened.
type WatchConditions struct {
	Open      bool // there is one already
	Delegated bool // other proxies have the duty to watch
}

// MayOpen decides whether a watch may be opened.
func (c *WatchConditions) MayOpen() Refusal {
	switch {
	case c.Open:
		return WatchOpen
	case c.Delegated:
		return WatchDelegated
	}
	return Permitted
}

// ExitConditions are what decides whether the process may exit after it was told to stop.
type ExitConditions struct {
	Accepting        bool // the listener may still accept a connection
	OpenConnections  int
	DeadlineExceeded bool // the time for the drain is over
}

// MayExit decides whether the process may exit.
func (c *ExitConditions) MayExit() Refusal {
	if !c.DeadlineExceeded && (c.Accepting || c.OpenConnections > 0) {
		return ConnectionsOpen
	}
	return Permitted
}
