// Package snapshot keeps what a proxy knows in a file, whole or not at all: written beside the old one and put in its place, with a
// checksum, so that what is read is what was written or nothing. Nothing of the proxy waits for it.
package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	name    = "woodproxy.state"
	magic   = "WOODPRX\x01" // the last byte is the version
	mostLen = 16 << 20
)

// Snapshot is what is kept.
type Snapshot struct {
	Owner   string    `msgpack:"o"` // the proxy that wrote it,
	Cluster string    `msgpack:"c"` // and the fleet that it belongs to
	At      time.Time `msgpack:"t"`
	Index   int64     `msgpack:"i"` // of the list
	List    []byte    `msgpack:"l"` // in the form in which discovery tells it
	Peers   []string  `msgpack:"p"` // where peers were met
}

// DirError tells of a directory that can't be used.
type DirError struct {
	Dir string
	Why error
}

func (e *DirError) Error() string {
	return fmt.Sprintf("state: %s: %v; name a directory that this proxy alone may write, or leave state out", e.Dir, e.Why)
}
func (e *DirError) Unwrap() error { return e.Why }

// OwnerError tells of another proxy's directory.
type OwnerError struct{ Dir, Owner, Me string }

func (e *OwnerError) Error() string {
	return fmt.Sprintf("state: %s: it is %q's, and this proxy is %q; give each its own", e.Dir, e.Owner, e.Me)
}

// TornError tells of a file that is not what was written.
type TornError struct{ What string }

func (e *TornError) Error() string {
	return fmt.Sprintf("what is stored can't be read: %s; it is put aside, and the start goes on without it", e.What)
}

// Store is a directory.
type Store struct {
	dir, me string
	write   func(file string, b []byte) error // tests have it fail
}

// Open looks whether a directory can be written, and is nobody else's. What is in it may be unreadable: that is told by Load.
func Open(dir, me string) (*Store, error) {
	s := &Store{dir: dir, me: me, write: write}
	info, err := os.Stat(dir)
	if err == nil && !info.IsDir() {
		err = errors.New("no directory")
	}
	if err != nil {
		return nil, &DirError{dir, err}
	}
	f, err := os.CreateTemp(dir, name+".try-*")
	if err != nil {
		return nil, &DirError{dir, err}
	}
	f.Close()
	os.Remove(f.Name())
	if old, err := s.Load(); err == nil && old != nil && old.Owner != me {
		return nil, &OwnerError{dir, old.Owner, me}
	}
	return s, nil
}

// Load returns what was stored, nil: nothing was. A TornError tells what is wrong with it.
func (s *Store) Load() (*Snapshot, error) {
	f, err := os.Open(filepath.Join(s.dir, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &TornError{err.Error()}
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, mostLen+1))
	if err != nil {
		return nil, &TornError{err.Error()}
	}
	return parse(b)
}

func parse(b []byte) (*Snapshot, error) {
	const head = len(magic) + 8
	switch {
	case len(b) < head:
		return nil, &TornError{fmt.Sprintf("%d bytes", len(b))}
	case len(b) > mostLen:
		return nil, &TornError{fmt.Sprintf("over %d bytes", mostLen)}
	case string(b[:len(magic)-1]) != magic[:len(magic)-1]:
		return nil, &TornError{"it is no state of a proxy"}
	case b[len(magic)-1] != magic[len(magic)-1]:
		return nil, &TornError{fmt.Sprintf("version %d, and this program reads %d", b[len(magic)-1], magic[len(magic)-1])}
	case binary.LittleEndian.Uint64(b[len(magic):]) != xxhash.Sum64(b[head:]):
		return nil, &TornError{"its checksum is another"}
	}
	var all Snapshot
	if err := msgpack.Unmarshal(b[head:], &all); err != nil {
		return nil, &TornError{err.Error()}
	}
	return &all, nil
}

// Save puts a snapshot in the place of the one before, or fails and leaves that.
func (s *Store) Save(all *Snapshot) error {
	all.Owner = s.me
	body, err := msgpack.Marshal(all)
	if err != nil {
		return err
	}
	b := binary.LittleEndian.AppendUint64([]byte(magic), xxhash.Sum64(body))
	return s.write(filepath.Join(s.dir, name), append(b, body...))
}

// Aside puts what can't be read out of the way, where it can be looked at.
func (s *Store) Aside() error {
	return os.Rename(filepath.Join(s.dir, name), filepath.Join(s.dir, name+".unreadable"))
}

// write has the bytes on the disk before the old file is gone.
func write(file string, b []byte) error {
	f, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".new-*")
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(f.Name(), file)
	}
	if err != nil {
		os.Remove(f.Name())
		return err
	}
	if d, e := os.Open(filepath.Dir(file)); e == nil { // so that the new name outlives the machine
		d.Sync()
		d.Close()
	}
	return nil
}
