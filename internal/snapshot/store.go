package snapshot

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"woodproxy/internal/systemerror"
)

const (
	fileName         = "woodproxy.state"
	unreadableSuffix = ".unreadable"
	probePattern     = fileName + ".try-*"
	tempPattern       = fileName + ".new-*"
)

// Store is the state directory of one proxy.
type Store struct {
	dir   string
	owner string // the name of this proxy
	disk  disk
}

// disk is what the store does with files, which tests have fail.
type disk struct {
	probe     func(dir string) error // creates and removes a file
	readFile  func(path string) ([]byte, error)
	writeFile func(path string, data []byte) error
}

var realDisk = disk{probe: createAndRemove, readFile: readFile, writeFile: replaceFile}

// Open returns the store in a directory, on behalf of the proxy named owner. It fails with a [DirError] if the
// directory does not exist or can't be written, and with an [OwnerError] if another proxy's state file is in it. A
// state file that can't be read is no error here: Load reports it.
func Open(dir, owner string) (*Store, error) { return openWithDisk(realDisk, dir, owner) }

func openWithDisk(disk disk, dir, owner string) (*Store, error) {
	if err := disk.checkWritable(dir); err != nil && !systemerror.IsTransient(err) {
		return nil, &DirError{Dir: dir, Err: err}
	}
	removeLeftovers(dir)
	store := &Store{dir: dir, owner: owner, disk: disk}
	if previous, err := store.Load(); err == nil && previous != nil && previous.Owner != owner {
		return nil, &OwnerError{Dir: dir, Owner: previous.Owner, Proxy: owner}
	}
	return store, nil
}

// checkWritable creates a file in a directory and removes it again, since permission bits don't tell about read-only
// mounts.
func (d disk) checkWritable(dir string) error {
	info, err := os.Stat(dir)
	if err != nil {
		return err
	}
	if !info.IsDir() {
		return errNotDirectory
	}
	return d.probe(dir)
}

func createAndRemove(dir string) error {
	probe, err := os.CreateTemp(dir, probePattern)
	if err != nil {
		return err
	}
	_ = probe.Close()           // nothing was written that a failed close could lose
	_ = os.Remove(probe.Name()) // an empty file that stays does no harm
	return nil
}

// leftoverAge is from when on a temporary file is one that a killed process has left: no write takes as long. The clock
// may have been set back since, so that its time may also lie in the future.
const leftoverAge = time.Minute

// removeLeftovers removes temporary files that killed processes have left. What can't be removed is left to the next
// start.
func removeLeftovers(dir string) {
	for _, pattern := range [...]string{probePattern, tempPattern} {
		names, _ := filepath.Glob(filepath.Join(dir, pattern)) // fails only on a malformed pattern
		for _, name := range names {
			info, err := os.Stat(name)
			if err == nil && time.Since(info.ModTime()).Abs() > leftoverAge {
				_ = os.Remove(name)
			}
		}
	}
}

// Load returns the stored snapshot, or nil without an error if there is no state file. An error is a [CorruptError] if
// the file holds something else than was written, and a [ReadError] if it could not be read.
func (s *Store) Load() (*Snapshot, error) {
	data, err := s.disk.readFile(s.path())
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &ReadError{Err: err}
	}
	return decode(data)
}

// readFile returns what a file holds, of one that is too long a little more than it may.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // it was only read
	return io.ReadAll(io.LimitReader(file, maxFileLength+1))
}

// Save replaces the state file by one with the given snapshot, whose Owner it sets to this proxy. When it returns, the
// new file is on the disk. If it fails, the file is the previous one or the new one, complete in either case, and Save is
// to be called again.
func (s *Store) Save(snapshot *Snapshot) error {
	snapshot.Owner = s.owner
	data, err := encode(snapshot)
	if err != nil {
		return err
	}
	if err := s.disk.writeFile(s.path(), data); err != nil {
		return fmt.Errorf("write state file: %w", err)
	}
	return nil
}

// Quarantine renames the state file to woodproxy.state.unreadable, for operators to look at, and replaces an earlier file of
// that name. The next Load finds no state file.
func (s *Store) Quarantine() error {
	return os.Rename(s.path(), s.path()+unreadableSuffix)
}

func (s *Store) path() string { return filepath.Join(s.dir, fileName) }
