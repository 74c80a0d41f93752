package snapshot

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
)

// replaceFile replaces the file at path atomically: after a crash at any time, path names either the complete previous file
// or the complete new one. After an error the previous file is unchanged, or the new file is in place but may be lost if the
// machine crashes; the caller has to call replaceFile again in both cases.
func replaceFile(path string, data []byte) error {
	temporary, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return err
	}
	err = writeSyncClose(temporary, data)
	if err == nil {
		err = os.Rename(temporary.Name(), path)
	}
	if err != nil {
		_ = os.Remove(temporary.Name()) // the first error is reported; a temporary file that can't be removed is never read
		return err
	}
	return syncDirectory(filepath.Dir(path))
}

// writeSyncClose writes data, syncs the file to disk, and closes it even after an error. It returns the first error.
func writeSyncClose(file *os.File, data []byte) error {
	_, err := file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// syncDirectory syncs a directory to disk, so that a preceding rename in it survives a crash of the machine. It returns nil
// if the file system can't sync directories.
func syncDirectory(dir string) error {
	directory, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = directory.Sync()
	_ = directory.Close() // the directory was opened for reading
	if errors.Is(err, syscall.EINVAL) || errors.Is(err, syscall.ENOTSUP) {
		return nil
	}
	return err
}
