package emulator

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"woodproxy/internal/systemerror"
)

const (
	limitInterval = 50 * time.Millisecond // between two looks at what a process uses
	// pingInterval is how often a proxy is asked whether it answers, and hungTimeout after how long without an answer it
	// hangs.
	pingInterval = 500 * time.Millisecond
	hungTimeout  = 5 * time.Second
)

// Notes of LimitExceeded events.
const (
	limitMemory      = "MB of memory"
	limitDescriptors = "descriptors"
)

// watchLimits looks at what a process uses until it ends. One that is over a limit is killed, as the platform does.
func (r *runner) watchLimits(i int, process *incarnation) {
	owner, ok := process.Proxy.(interface{ PID() int })
	if !ok {
		return // a stand-in without a process of its own
	}
	limits := r.plan.Scenario.Limits
	ticker := time.NewTicker(limitInterval)
	defer ticker.Stop()
	for {
		select {
		case <-process.exited:
			return
		case <-ticker.C:
		}
		memory, open := residentMB(owner.PID()), openDescriptors(owner.PID())
		r.proxies[i].recordResourceUsage(memory, open)
		event := Event{Kind: LimitExceeded, Proxy: i}
		switch {
		case memory > float64(limits.MemoryMB):
			event.Note, event.Figure = limitMemory, memory
		case open > limits.Sockets:
			event.Note, event.Figure = limitDescriptors, float64(open)
		default:
			continue
		}
		r.log.Record(event)
		r.markKilled(i, process)
		process.Kill()
		return
	}
}

// markKilled notes that the end of a process is the emulator's doing.
func (r *runner) markKilled(i int, process *incarnation) {
	m := r.proxies[i]
	m.mu.Lock()
	defer m.mu.Unlock()
	process.endNote = endKilled
}

// residentMB returns the memory that a process has resident, in MiB; 0 once it has ended.
func residentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(text)
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(string(fields[1])) // 0 where it is no number
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20)
}

// openDescriptors returns how many descriptors a process has open; 0 once it has ended.
func openDescriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// watchAnswers asks a process whether it answers, from when it is ready until it ends or is told to. A span without an
// answer in which it was paused is no hang.
func (r *runner) watchAnswers(i int, process *incarnation) {
	m := r.proxies[i]
	answeredAt := time.Now()
	for {
		select {
		case <-process.exited:
			return
		case <-time.After(pingInterval):
		}
		m.mu.Lock()
		stopping := process.endNote != "" || m.current != process
		m.mu.Unlock()
		if stopping {
			return
		}
		if err := ping(m.config.Listen); err == nil || systemerror.IsTransient(err) || m.crowds.Load() > 0 { // a shortage here, or there, tells nothing
			answeredAt = time.Now()
		} else if silent := time.Since(answeredAt); silent > hungTimeout {
			r.log.Record(Event{Kind: ProcessHung, Proxy: i, Figure: silent.Seconds()})
			return
		}
	}
}
