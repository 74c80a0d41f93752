package faultbuild

// hookSource is added to the standard library's package syscall. Its injectedPage must match pageLayout in page.go.
const hookSource = `package syscall

import (
	"sync/atomic"
	"unsafe"
)

type injectedCall struct {
	errno    uint32
	perMille uint32
	short    uint32
	_        uint32
	injected uint64
	_        uint64
}

type injectedPage struct {
	wallOffset int64
	_          [56]byte
	calls      [8]injectedCall
}

const (
	injectedSocket = iota
	injectedConnect
	injectedAccept
	injectedRead
	injectedWrite
	injectedFileWrite
	injectedSync
	injectedBroken
)

const (
	injectedAccepted = 1
	injectedOwn      = 2
	injectedBytes    = 4096
)

var (
	injectedState  atomic.Uint32 // 0: not looked up, 1: being opened, 2: no page, 3: opened
	injectedMemory atomic.Pointer[injectedPage]
	injectedRandom atomic.Uint64
	injectedKinds  [1 << 16]atomic.Uint32 // by descriptor; 0: not a tracked socket
)

func injectedFaults() *injectedPage {
	if page := injectedMemory.Load(); page != nil || !injectedState.CompareAndSwap(0, 1) {
		return page
	}
	path, found := Getenv("WOODPROXY_FAULT_PAGE")
	if !found {
		injectedState.Store(2)
		return nil
	}
	fd, err := Open(path, O_RDWR|O_CLOEXEC, 0)
	if err != nil {
		injectedState.Store(2)
		return nil
	}
	address, err := mmap(0, injectedBytes, PROT_READ|PROT_WRITE, MAP_SHARED, fd, 0)
	if err == nil {
		injectedMemory.Store((*injectedPage)(unsafe.Pointer(address)))
	}
	injectedState.Store(3)
	return injectedMemory.Load()
}

func injectedDraw() uint32 {
	x := injectedRandom.Add(0x9e3779b97f4a7c15)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return uint32((x ^ x>>31) % 1000)
}

// injectedFault returns the error with which a call is to fail, 0 for none, and the maximum number of bytes that it may
// transfer, 0 for no limit.
func injectedFault(call int) (errno Errno, short int) {
	page := injectedFaults()
	if page == nil {
		return 0, 0
	}
	c := &page.calls[call]
	perMille := atomic.LoadUint32(&c.perMille)
	if perMille == 0 || injectedDraw() >= perMille {
		return 0, 0
	}
	atomic.AddUint64(&c.injected, 1)
	return Errno(atomic.LoadUint32(&c.errno)), int(atomic.LoadUint32(&c.short))
}

func injectedKind(fd int) uint32 {
	if fd < 0 || fd >= len(injectedKinds) {
		return 0
	}
	return injectedKinds[fd].Load()
}

func injectedSetKind(fd int, kind uint32) {
	if fd >= 0 && fd < len(injectedKinds) {
		injectedKinds[fd].Store(kind)
	}
}

func InjectedWallOffset() int64 {
	page := injectedFaults()
	if page == nil {
		return 0
	}
	return atomic.LoadInt64(&page.wallOffset)
}

func socket(domain int, typ int, proto int) (fd int, err error) {
	if domain == AF_INET && typ&SOCK_STREAM != 0 {
		if errno, _ := injectedFault(injectedSocket); errno != 0 {
			return -1, errno
		}
	}
	fd, err = originalSocket(domain, typ, proto)
	if err == nil {
		injectedSetKind(fd, injectedOwn)
	}
	return fd, err
}

func connect(s int, addr unsafe.Pointer, addrlen _Socklen) (err error) {
	if errno, _ := injectedFault(injectedConnect); errno != 0 {
		return errno
	}
	return originalConnect(s, addr, addrlen)
}

func accept4(s int, rsa *RawSockaddrAny, addrlen *_Socklen, flags int) (fd int, err error) {
	if errno, _ := injectedFault(injectedAccept); errno != 0 {
		return -1, errno
	}
	fd, err = originalAccept4(s, rsa, addrlen, flags)
	if err == nil {
		injectedSetKind(fd, injectedAccepted)
	}
	return fd, err
}

// injectedBreak shuts down a connection that the process itself opened, to simulate a network failure.
func injectedBreak(fd int) Errno {
	if injectedKind(fd) != injectedOwn {
		return 0
	}
	errno, _ := injectedFault(injectedBroken)
	if errno != 0 {
		Shutdown(fd, SHUT_RDWR)
	}
	return errno
}

func read(fd int, p []byte) (n int, err error) {
	if injectedKind(fd) == 0 {
		return originalRead(fd, p)
	}
	if errno := injectedBreak(fd); errno != 0 {
		return -1, errno
	}
	errno, short := injectedFault(injectedRead)
	if errno != 0 {
		return -1, errno
	}
	if short > 0 && len(p) > short {
		p = p[:short]
	}
	return originalRead(fd, p)
}

func injectedRegular(fd int) bool {
	var stat Stat_t
	return fd > 2 && Fstat(fd, &stat) == nil && stat.Mode&S_IFMT == S_IFREG
}

func write(fd int, p []byte) (n int, err error) {
	if injectedKind(fd) == 0 {
		if page := injectedFaults(); page == nil || atomic.LoadUint32(&page.calls[injectedFileWrite].perMille) == 0 || !injectedRegular(fd) {
			return originalWrite(fd, p)
		}
		errno, short := injectedFault(injectedFileWrite)
		if errno != 0 && short > 0 && len(p) > short {
			originalWrite(fd, p[:short])
		}
		if errno != 0 {
			return -1, errno
		}
		return originalWrite(fd, p)
	}
	if errno := injectedBreak(fd); errno != 0 {
		return -1, errno
	}
	errno, short := injectedFault(injectedWrite)
	if errno != 0 {
		return -1, errno
	}
	if short > 0 && len(p) > short {
		p = p[:short]
	}
	return originalWrite(fd, p)
}

func InjectedWritev(trap, fd, vectors, count uintptr) (r1, r2 uintptr, err Errno) {
	if errno := injectedBreak(int(fd)); errno != 0 {
		return ^uintptr(0), 0, errno
	}
	errno, short := injectedFault(injectedWrite)
	if errno != 0 {
		return ^uintptr(0), 0, errno
	}
	first := (*Iovec)(unsafe.Pointer(vectors))
	if short > 0 && first.Len > 0 {
		n, e := originalWrite(int(fd), unsafe.Slice(first.Base, min(int(first.Len), short)))
		if e != nil {
			return ^uintptr(0), 0, e.(Errno)
		}
		return uintptr(n), 0, 0
	}
	return Syscall(trap, fd, vectors, count)
}

func Fsync(fd int) (err error) {
	if errno, _ := injectedFault(injectedSync); errno != 0 {
		return errno
	}
	return originalFsync(fd)
}

func Close(fd int) (err error) {
	injectedSetKind(fd, 0)
	return originalClose(fd)
}
`
