package faultbuild

import (
	"errors"
	"os"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

// Call names what can be made to fail.
type Call int

// Calls, in the order of the page.
const (
	CallSocket    Call = iota
	CallConnect        // fails at once
	CallAccept         // who waits stays in the listener's queue
	CallRead           // of sockets
	CallWrite          // of sockets
	CallFileWrite      // of regular files; with Short, so much is written before it fails
	CallSync
	CallBroken // read or write of a connection that the process has opened, which is broken from then on
	numCalls
)

const pageBytes = 4096

// EnvironmentVariable names the page's file to the proxy.
const EnvironmentVariable = "WOODPROXY_FAULT_PAGE"

// Fault is how calls fail or come short.
type Fault struct {
	Errno    syscall.Errno // 0: they come short only
	PerMille int           // of the calls that are affected; 0: none
	Short    int           // bytes that a call carries at most; 0: all
}

// pageCall and pageLayout are the page's content, which hookSource knows as well.
type pageCall struct {
	errno    uint32
	perMille uint32
	short    uint32
	_        uint32
	injected uint64
	_        uint64
}

type pageLayout struct {
	wallOffset int64 // seconds
	_          [56]byte
	calls      [numCalls]pageCall
}

// Page steers the faults of one process, and of those that follow it with the same file.
type Page struct {
	memory []byte
	layout *pageLayout
}

// NewPage creates a page without faults at a path.
func NewPage(path string) (*Page, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // the mapping stays
	if err := file.Truncate(pageBytes); err != nil {
		return nil, err
	}
	memory, err := syscall.Mmap(int(file.Fd()), 0, pageBytes, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, errors.Join(errors.New("faultbuild: map the page"), err)
	}
	return &Page{memory: memory, layout: (*pageLayout)(unsafe.Pointer(&memory[0]))}, nil
}

// Set has a call fail from now on, or no more.
func (p *Page) Set(call Call, fault Fault) {
	c := &p.layout.calls[call]
	atomic.StoreUint32(&c.perMille, 0)
	atomic.StoreUint32(&c.errno, uint32(fault.Errno))
	atomic.StoreUint32(&c.short, uint32(fault.Short))
	atomic.StoreUint32(&c.perMille, uint32(fault.PerMille))
}

// Injected returns how many calls were affected.
func (p *Page) Injected(call Call) int64 {
	return int64(atomic.LoadUint64(&p.layout.calls[call].injected))
}

// StepWallClock moves the wall clock by a span, which is rounded to seconds.
func (p *Page) StepWallClock(by time.Duration) {
	atomic.AddInt64(&p.layout.wallOffset, int64(by/time.Second))
}

// Close unmaps the page. A process that uses it keeps it.
func (p *Page) Close() error { return syscall.Munmap(p.memory) }
