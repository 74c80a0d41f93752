package hotrestart

import "sync"

// successors counts the connected processes that have taken the listener from this one.
type successors struct {
	notify func(holding, serving int) // called at each change, one call at a time in the order of the changes

	mu      sync.Mutex
	holding int // connected processes that hold the listener
	serving int // processes among them that accept clients
}

// add adds to both counts and calls notify with the sums.
func (s *successors) add(holding, serving int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holding += holding
	s.serving += serving
	s.notify(s.holding, s.serving)
}

// count returns the number of connected processes that hold the listener.
func (s *successors) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holding
}
