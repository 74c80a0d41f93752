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
	limitInterval = 50 * time.Millisecond // between two checks of the resources of a process
	pingInterval  = 500 * time.Millisecond
	hungTimeout   = 5 * time.Second // time without a reply after which a proxy counts as hung
)

// Notes of LimitExceeded events.
const (
	limitMemory      = "MB of memory"
	limitDescriptors = "descriptors"
)

// watchLimits checks the memory and the descriptors of a process until it ends. It kills a process that exceeds a limit, as
// the platform does.
func (r *runner) watchLimits(i int, process *incarnation) {
	owner, ok := process.Proxy.(interface{ PID() int })
	if !ok {
		return // a fake proxy without a process of its own
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

// markKilled records that the emulator kills a process.
func (r *runner) markKilled(i int, process *incarnation) {
	m := r.proxies[i]
	m.mu.Lock()
	defer m.mu.Unlock()
	process.endNote = endKilled
}

// residentMB returns the resident memory of a process in MiB, or 0 if the process has ended.
func residentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(text)
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(string(fields[1])) // 0 if it is not a number
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20)
}

// openDescriptors returns the number of open descriptors of a process, or 0 if the process has ended.
func openDescriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// watchForHang pings a process from the time it is ready until it ends or is stopped. It records a process that has not
// replied for hungTimeout as hung. HungRule later excuses processes that were paused within that time.
func (r *runner) watchForHang(i int, process *incarnation) {
	m := r.proxies[i]
	repliedAt := time.Now()
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
		// A resource shortage of the emulator, or of a proxy with a crowd, does not prove a hang.
		if err := ping(m.config.Listen); err == nil || systemerror.IsTransient(err) || m.crowds.Load() > 0 {
			repliedAt = time.Now()
		} else if silent := time.Since(repliedAt); silent > hungTimeout {
			r.log.Record(Event{Kind: ProcessHung, Proxy: i, Figure: silent.Seconds()})
			return
		}
	}
}
