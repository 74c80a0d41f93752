// Package hotrestart passes the clients' listener and the list from a running process to the one that replaces it, over a
// Unix socket in a directory that both share. The connection stays open for as long as both run, and its end tells each
// that the other has gone.
package hotrestart

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	version  = 1
	patience = 500 * time.Millisecond // for the other side's next message
	longest  = 1 << 20                // of a message
	serving  = "serving\n"
)

// hello is what the new process says first; offer is the answer, which carries the listener.
type hello struct {
	Version int    `json:"woodproxy_handover"`
	Listen  string `json:"listen"`
}

type offer struct {
	Version int             `json:"woodproxy_handover"`
	Listen  string          `json:"listen"`
	List    json.RawMessage `json:"list"` // in discovery's form, null: none
}

// path is where the process that listens at an address is met. A path may be too long for a socket's name, so that
// it is reached by way of the directory.
func path(dir, listen string) (string, func(), error) {
	d, err := os.Open(dir)
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", d.Fd(), name(listen)), func() { d.Close() }, nil
}

func name(listen string) string {
	h := fnv.New64a()
	h.Write([]byte(listen))
	return fmt.Sprintf("woodproxy-%016x.sock", h.Sum64())
}

// ErrNobody tells that no process is there to be replaced.
var ErrNobody = errors.New("nobody to take over from")

// Before is the process that this one replaces.
type Before struct {
	Listener *net.TCPListener
	List     []byte // as that process has it, in discovery's form; nil: none
	conn     *net.UnixConn
}

// Claim asks the process that listens at the address for its listener.
func Claim(dir, listen string) (*Before, error) {
	at, done, err := path(dir, listen)
	if err != nil {
		return nil, ErrNobody
	}
	defer done()
	c, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: at, Net: "unix"})
	if errors.Is(err, syscall.ENOENT) || errors.Is(err, syscall.ECONNREFUSED) { // a name left behind is refused
		return nil, ErrNobody
	}
	if err != nil {
		return nil, err
	}
	b, err := claim(c, listen)
	if err != nil {
		c.Close()
		return nil, err
	}
	return b, nil
}

func claim(c *net.UnixConn, listen string) (*Before, error) {
	if err := ours(c); err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(patience))
	if err := json.NewEncoder(c).Encode(hello{version, listen}); err != nil {
		return nil, err
	}
	// what carries the listener is the first byte; the rest may come in parts
	text, rights := make([]byte, 64<<10), make([]byte, 256)
	n, k, _, _, err := c.ReadMsgUnix(text, rights)
	if err != nil {
		return nil, err
	}
	ln, err := listener(rights[:k])
	if err != nil {
		return nil, err
	}
	line := slices.Clone(text[:n])
	for n == 0 || line[len(line)-1] != '\n' {
		if n, err = c.Read(text); err != nil || len(line) > longest {
			ln.Close()
			return nil, fmt.Errorf("the offer is torn: %w", errors.Join(err, io.ErrUnexpectedEOF))
		}
		line = append(line, text[:n]...)
	}
	var o offer
	if err := json.Unmarshal(line, &o); err != nil {
		ln.Close()
		return nil, fmt.Errorf("the offer is garbled: %w", err)
	}
	if o.Version != version || o.Listen != listen {
		ln.Close()
		return nil, fmt.Errorf("an offer of version %d for %s", o.Version, o.Listen)
	}
	c.SetDeadline(time.Time{})
	b := &Before{Listener: ln, conn: c}
	if string(o.List) != "null" {
		b.List = o.List
	}
	return b, nil
}

// listener takes the one that came with a message.
func listener(rights []byte) (*net.TCPListener, error) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil || len(messages) != 1 {
		return nil, errors.New("no listener came with the offer")
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return nil, errors.New("no listener came with the offer")
	}
	f := os.NewFile(uintptr(fds[0]), "listener")
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		ln.Close()
		return nil, errors.New("what came with the offer is no listener for TCP")
	}
	return tcp, nil
}

// Serving tells the process before that this one serves now.
func (b *Before) Serving() error {
	_, err := b.conn.Write([]byte(serving))
	return err
}

// Wait returns once the process before has gone.
func (b *Before) Wait() {
	b.conn.Read(make([]byte, 1))
	b.conn.Close()
}

// Abandon has the process before go on as if this one had never come.
func (b *Before) Abandon() { b.conn.Close() }

// ours refuses what another user runs.
func ours(c *net.UnixConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var who *syscall.Ucred
	raw.Control(func(fd uintptr) { who, err = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED) })
	if err == nil && int(who.Uid) != os.Getuid() {
		err = fmt.Errorf("a process of user %d", who.Uid)
	}
	return err
}

// Estate is what this process leaves to the one that replaces it.
type Estate struct {
	dir, listen string
	listener    *net.TCPListener
	list        func() []byte
	hear        func(heirs, serving int)
	log         *zap.Logger
	mu          sync.Mutex
	at          *net.UnixListener // nil: nobody can come
	heirs       int               // processes that hold the listener too
	serve       int               // those of them that serve
	ended       bool
}

// New returns what a process leaves. Once it is open, hear is told how many processes hold the listener too, and how
// many of those serve, each time this changes.
func New(dir, listen string, ln *net.TCPListener, list func() []byte, hear func(heirs, serving int), log *zap.Logger) *Estate {
	return &Estate{dir: dir, listen: listen, listener: ln, list: list, hear: hear, log: log}
}

// Open waits for a process that replaces this one.
func (e *Estate) Open() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bind()
}

// bind takes the place at which one asks, from whoever had it.
func (e *Estate) bind() error {
	at, done, err := path(e.dir, e.listen)
	if err != nil {
		return err
	}
	defer done()
	os.Remove(filepath.Join(e.dir, name(e.listen)))
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: at, Net: "unix"})
	if err != nil {
		return err
	}
	ln.SetUnlinkOnClose(false) // it may be another's by then
	os.Chmod(at, 0o600)
	if e.at != nil {
		e.at.Close()
	}
	e.at = ln
	go e.accept(ln)
	return nil
}

func (e *Estate) accept(ln *net.UnixListener) {
	for {
		c, err := ln.AcceptUnix()
		if err != nil {
			return
		}
		go e.meet(c)
	}
}

// meet sees one process through, from its hello to its end or this one's.
func (e *Estate) meet(c *net.UnixConn) {
	defer c.Close()
	if err := e.give(c); err != nil {
		e.log.Warn("listener not handed over", zap.Error(err))
		return
	}
	e.log.Info("listener handed over")
	e.change(1, 0)
	c.SetDeadline(time.Time{})
	word, err := bufio.NewReaderSize(c, len(serving)).ReadString('\n')
	if err == nil && word == serving {
		e.log.Info("the process that was handed the listener serves")
		e.change(0, 1)
		c.Read(make([]byte, 1))
		e.change(-1, -1)
	} else {
		e.change(-1, 0)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ended {
		e.log.Warn("the process that was handed the listener has gone")
		if err := e.bind(); err != nil { // it had taken the place
			e.log.Warn("no place where a listener is handed over", zap.Error(err))
		}
	}
}

func (e *Estate) change(heirs, serve int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heirs, e.serve = e.heirs+heirs, e.serve+serve
	e.hear(e.heirs, e.serve)
}

func (e *Estate) give(c *net.UnixConn) error {
	if err := ours(c); err != nil {
		return err
	}
	c.SetDeadline(time.Now().Add(patience))
	text, err := bufio.NewReaderSize(c, 4<<10).ReadSlice('\n')
	if err != nil {
		return err
	}
	var h hello
	if err := json.Unmarshal(text, &h); err != nil {
		return fmt.Errorf("a hello that is garbled: %w", err)
	}
	if h.Version != version || h.Listen != e.listen {
		return fmt.Errorf("a hello of version %d for %s", h.Version, h.Listen)
	}
	line, err := json.Marshal(offer{version, e.listen, e.list()})
	if err != nil {
		return err
	}
	return e.send(c, append(line, '\n'))
}

// send writes a message with the listener.
func (e *Estate) send(c *net.UnixConn, line []byte) error {
	raw, err := e.listener.SyscallConn()
	if err != nil {
		return err
	}
	sent := 0
	if failed := raw.Control(func(fd uintptr) { sent, _, err = c.WriteMsgUnix(line, syscall.UnixRights(int(fd)), nil) }); failed != nil {
		return failed
	}
	if err == nil && sent < len(line) {
		_, err = c.Write(line[sent:])
	}
	return err
}

// Heirs tells how many processes hold the listener too.
func (e *Estate) Heirs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heirs
}

// Close hands nothing over any more; the place is left to who took it.
func (e *Estate) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	if e.at != nil {
		e.at.Close()
	}
	if e.heirs == 0 {
		os.Remove(filepath.Join(e.dir, name(e.listen)))
	}
}
