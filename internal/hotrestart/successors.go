package hotrestart

import "sync"

// successors counts the processes that took the listener from this one and are still connected.
type successors struct {
	notify func(holding, serving int) // at each change, one at a time and in the order of the changes

	mu      sync.Mutex
	holding int // processes that hold the listener too
	serving int // those of them that accept clients
}

// add changes both counts and notifies of them.
func (s *successors) add(holding, serving int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holding += holding
	s.serving += serving
	s.notify(s.holding, s.serving)
}

// count returns how many processes hold the listener too.
func (s *successors) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holding
}
