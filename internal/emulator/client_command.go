package emulator

import (
	"strings"
	"sync"
)

// clientCommand holds the command of one request, as a client sent it or as an upstream received it.
type clientCommand struct {
	name, key, facts, value string
}

// matches reports whether the command of an attempt equals the client's command, apart from the deadline, which the proxy
// sets.
func (c *clientCommand) matches(received *clientCommand) bool {
	return c.name == received.name && c.key == received.key && c.value == received.value &&
		withoutDeadline(c.facts) == withoutDeadline(received.facts)
}

// withoutDeadline returns the request facts without the deadline.
func withoutDeadline(facts string) string {
	var kept []string
	for fact := range strings.SplitSeq(facts, ",") {
		if !strings.HasPrefix(fact, "d=") {
			kept = append(kept, fact)
		}
	}
	return strings.Join(kept, ",")
}

// sentCommands holds the commands that clients have sent, by request ID. Its methods may be called concurrently, and wasSent
// also on nil.
type sentCommands struct {
	mu   sync.Mutex
	byID map[string]clientCommand
}

// record stores a command. It must be called before the first byte of the command is written.
func (s *sentCommands) record(id string, command clientCommand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[id] = command
}

// wasSent reports whether a client has sent the command that an upstream received. It is true if s is nil.
func (s *sentCommands) wasSent(id string, received clientCommand) bool {
	if s == nil {
		return true // sent commands are not recorded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sent, known := s.byID[id]
	return known && sent.matches(&received)
}
