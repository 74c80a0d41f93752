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

// errNoFaultPages is returned for a scenario with faults of the machine and proxies that were not built for them.
var errNoFaultPages = errors.New("faults of the machine need a proxy that was built for them (Options.FaultPages)")

// machineFault is a kind of fault below the program.
type machineFault struct {
	call   faultbuild.Call
	errnos []syscall.Errno // of which Errno names one; none: calls come short
	short  int             // bytes
}

// machineFaults holds the kinds that fail system calls.
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

// needsFaultPages reports whether a kind of fault needs a proxy that was built for it.
func needsFaultPages(kind string) bool {
	_, ok := machineFaults[kind]
	return ok || kind == "clock-step"
}

// errnoByName returns the error of a kind of fault by its number in the list; numbers wrap around.
func (f *machineFault) errno(number int) syscall.Errno {
	if len(f.errnos) == 0 {
		return 0
	}
	return f.errnos[number%len(f.errnos)]
}

// createFaultPages makes a page for each proxy. It stays the same over the proxy's restarts.
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
		_ = page.Close() // nothing uses it any more
	}
	r.faultPages = nil
}

// injectMachineFault has system calls of proxies fail or come short while the fault lasts.
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

// injectClockStep steps the wall clocks of proxies, and back at the fault's end.
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

// injectOriginResets resets the origin's connections, again and again while the fault lasts.
func (r *runner) injectOriginResets(ctx context.Context, fault activeFault) {
	const interval = 30 * time.Millisecond
	for time.Now().Before(fault.endsAt) && sleep(ctx, interval) {
		r.origin.resetConns()
	}
}

// injectConnResets resets the open connections of nodes, again and again while the fault lasts.
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

// reloadGrace is how long a discovery agent that proxies were told to leave still serves open watches.
const reloadGrace = 1500 * time.Millisecond
