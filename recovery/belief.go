package recovery

import (
	"fmt"
	"time"
)

// Status of a node on a list, the stricter one later.
type Status uint8

const (
	Ready Status = iota
	Leaving
	Left
)

// Line is a node's line on a list.
type Line struct {
	Name   string
	Status Status
}

// List is one, as somebody had it.
type List struct {
	Index int64
	Lines []Line
}

// Stored is what was stored, and when by the clock of then.
type Stored struct {
	List
	At time.Time
}

// ClusterError tells of a snapshot that another fleet's proxy wrote.
type ClusterError struct{ Stored, Own string }

func (e *ClusterError) Error() string {
	return fmt.Sprintf("what is stored is of %q, and this proxy of %q; name another directory, or empty this one", e.Stored, e.Own)
}

// Use is what may be believed of two lists: which one to begin with, and which nodes of it are to be left alone, since the
// other one says that they leave.
type Use struct {
	Disk    bool // begin with what was stored, else with what the configuration has
	Drained []string
	Why     string
}

// Believe weighs what was stored against what the configuration has. The later index goes first, wherever it comes from; of one index
// the stricter status binds. What is older than lapse, or of a time to come, is no list any more; a drain in it stays where the
// other list is no newer.
func Believe(s Stored, configured List, now time.Time, lapse time.Duration) Use {
	age := now.Sub(s.At)
	u := Use{}
	switch {
	case age < 0:
		u.Why = fmt.Sprintf("stored %v from now by this clock: its drains alone count", -age)
	case age > lapse:
		u.Why = fmt.Sprintf("stored %v ago, over %v: its drains alone count", age.Round(time.Second), lapse)
	case s.Index > configured.Index:
		u.Disk, u.Why = true, fmt.Sprintf("stored %v ago at index %d, after the configuration's %d", age.Round(time.Second), s.Index, configured.Index)
	default:
		u.Why = fmt.Sprintf("stored %v ago at index %d, and the configuration has %d", age.Round(time.Second), s.Index, configured.Index)
	}
	strict := map[string]Status{}
	switch {
	case u.Disk: // what the configuration says of an earlier index binds nobody
		return u
	case s.Index >= configured.Index:
		for _, l := range s.Lines {
			strict[l.Name] = l.Status
		}
	}
	for _, l := range configured.Lines {
		if strict[l.Name] > l.Status {
			u.Drained = append(u.Drained, l.Name)
		}
	}
	return u
}
