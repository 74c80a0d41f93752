package emulator

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"syscall"
	"time"

	"woodproxy/internal/faultbuild"
)

// errNoFaultPages is the error for a scenario with machine faults if the proxies were not built with fault injection.
var errNoFaultPages = errors.New("machine faults need a proxy built with fault injection (Options.FaultPages)")

// machineFault describes a kind of fault that is injected into system calls.
type machineFault struct {
	call   faultbuild.Call
	errnos []syscall.Errno // possible errors; none: calls only transfer fewer bytes
	short  int             // bytes that a shortened call transfers; 0: calls are not shortened
}

// machineFaults maps the kinds of faults that affect system calls to their descriptions.
var machineFaults = map[string]machineFault{
	"fail-socket":  {call: faultbuild.CallSocket, errnos: []syscall.Errno{syscall.ENOBUFS, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM}},
	"fail-connect": {call: faultbuild.CallConnect, errnos: []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENOBUFS, syscall.EAGAIN}},
	"fail-accept":  {call: faultbuild.CallAccept, errnos: []syscall.Errno{syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.EINTR}},
	"break-conns":  {call: faultbuild.CallBroken, errnos: []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH}},
	"interrupt":    {call: faultbuild.CallRead, errnos: []syscall.Errno{syscall.EINTR}},
	"short-read":   {call: faultbuild.CallRead, short: 17},
	"short-write":  {call: faultbuild.CallWrite, short: 17},
	"fail-disk":    {call: faultbuild.CallFileWrite, errnos: []syscall.Errno{syscall.ENOSPC, syscall.EIO}, short: 9},
	"fail-sync":    {call: faultbuild.CallSync, errnos: []syscall.Errno{syscall.EIO, syscall.ENOSPC}},
}

// needsFaultPages reports whether a kind of fault needs a proxy built with fault injection.
func needsFaultPages(kind string) bool {
	_, ok := machineFaults[kind]
	return ok || kind == "clock-step"
}

// errno returns the error with a number in the list of the fault, 0 if the list is empty. Numbers past the end wrap around.
func (f *machineFault) errno(number int) syscall.Errno {
	if len(f.errnos) == 0 {
		return 0
	}
	return f.errnos[number%len(f.errnos)]
}

// createFaultPages creates a fault page for each proxy, which is kept across restarts of the proxy. It returns errNoFaultPages
// if the plan needs fault pages and the options do not allow them.
func (r *runner) createFaultPages() error {
	for _, event := range r.plan.Faults {
		if needsFaultPages(event.Kind) && !r.options.FaultPages {
			return fmt.Errorf("%s: %w", event.Kind, errNoFaultPages)
		}
	}
	if !r.options.FaultPages {
		return nil
	}
	for _, m := range r.proxies {
		m.config.FaultPage = filepath.Join(m.config.Dir, "faults")
		page, err := faultbuild.NewPage(m.config.FaultPage)
		if err != nil {
			return err
		}
		r.faultPages = append(r.faultPages, page)
	}
	return nil
}

func (r *runner) closeFaultPages() {
	for _, page := range r.faultPages {
		_ = page.Close() // the page is no longer used
	}
	r.faultPages = nil
}

// injectMachineFault makes system calls of proxies fail or transfer fewer bytes for the duration of the fault.
func (r *runner) injectMachineFault(ctx context.Context, fault activeFault) {
	kind := machineFaults[fault.Kind]
	perMille := max(int(fault.Part*1000), 1)
	for _, i := range fault.Targets {
		r.faultPages[i].Set(kind.call, faultbuild.Fault{Errno: kind.errno(fault.Variant), PerMille: perMille, Short: kind.short})
	}
	sleep(ctx, fault.duration)
	for _, i := range fault.Targets {
		r.faultPages[i].Set(kind.call, faultbuild.Fault{})
	}
}

// injectClockStep steps the wall clocks of proxies, and steps them back when the fault ends.
func (r *runner) injectClockStep(ctx context.Context, fault activeFault) {
	step := seconds(fault.StepS)
	for _, i := range fault.Targets {
		r.faultPages[i].StepWallClock(step)
	}
	sleep(ctx, fault.duration)
	for _, i := range fault.Targets {
		r.faultPages[i].StepWallClock(-step)
	}
}

// injectOriginResets resets the connections of the origin repeatedly for the duration of the fault.
func (r *runner) injectOriginResets(ctx context.Context, fault activeFault) {
	const interval = 30 * time.Millisecond
	for time.Now().Before(fault.endsAt) && sleep(ctx, interval) {
		r.origin.resetConns()
	}
}

// injectConnResets resets the open connections of nodes repeatedly for the duration of the fault.
func (r *runner) injectConnResets(ctx context.Context, fault activeFault) {
	const rounds = 3
	for range rounds {
		for _, n := range r.targetNodes(fault.FaultEvent) {
			n.resetConns()
		}
		if !sleep(ctx, fault.duration/rounds) {
			return
		}
	}
}

// reloadGrace is the time for which the old discovery address still serves open watches after proxies were reloaded with a new
// one.
const reloadGrace = 1500 * time.Millisecond
