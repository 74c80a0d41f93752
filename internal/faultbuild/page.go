package faultbuild

import (
	"errors"
	"os"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

// Call is a kind of system call that can be made to fail.
type Call int

// Kinds of calls, in their order in the page.
const (
	CallSocket    Call = iota
	CallConnect        // fails immediately
	CallAccept         // the connection stays in the listener's queue
	CallRead           // of sockets
	CallWrite          // of sockets
	CallFileWrite      // of regular files; Short bytes are written before the call fails
	CallSync
	CallBroken // read or write of a connection that the process opened; the connection is shut down
	numCalls
)

// pageBytes is the size of the file. It equals injectedBytes in hookSource.
const pageBytes = 4096

// EnvironmentVariable is the name of the environment variable that holds the path of the page for the proxy.
const EnvironmentVariable = "WOODPROXY_FAULT_PAGE"

// Fault describes how calls fail or are shortened.
type Fault struct {
	Errno    syscall.Errno // error of the call; 0: the call is only shortened
	PerMille int           // fraction of the calls that are affected, in thousandths; 0: none
	Short    int           // maximum number of bytes that a call transfers; 0: no limit
}

// pageCall and pageLayout are the layout of the page. They must match injectedCall and injectedPage in hookSource.
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

// Page controls the faults of one process, and of later processes that are started with the same file.
type Page struct {
	memory []byte
	layout *pageLayout
}

// NewPage creates a page without faults in a file at path, which it truncates if it exists.
func NewPage(path string) (*Page, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // the mapping remains valid
	if err := file.Truncate(pageBytes); err != nil {
		return nil, err
	}
	memory, err := syscall.Mmap(int(file.Fd()), 0, pageBytes, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, errors.Join(errors.New("faultbuild: map the page"), err)
	}
	return &Page{memory: memory, layout: (*pageLayout)(unsafe.Pointer(&memory[0]))}, nil
}

// Set sets the fault of a kind of call. The zero Fault ends it.
func (p *Page) Set(call Call, fault Fault) {
	c := &p.layout.calls[call]
	atomic.StoreUint32(&c.perMille, 0)
	atomic.StoreUint32(&c.errno, uint32(fault.Errno))
	atomic.StoreUint32(&c.short, uint32(fault.Short))
	atomic.StoreUint32(&c.perMille, uint32(fault.PerMille))
}

// Injected returns the number of calls of a kind that were affected.
func (p *Page) Injected(call Call) int64 {
	return int64(atomic.LoadUint64(&p.layout.calls[call].injected))
}

// StepWallClock moves the wall clock of the process by a duration, which is truncated to whole seconds.
func (p *Page) StepWallClock(by time.Duration) {
	atomic.AddInt64(&p.layout.wallOffset, int64(by/time.Second))
}

// Close unmaps the page. Processes that have mapped it keep their mapping.
func (p *Page) Close() error { return syscall.Munmap(p.memory) }
