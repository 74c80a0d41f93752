package experiment

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
)

// CreateEmptyDir creates a directory and its parents, and fails if the directory exists and is not empty.
func CreateEmptyDir(dir string) error {
	entries, err := os.ReadDir(dir)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if len(entries) > 0 {
		return fmt.Errorf("%s: not empty", dir)
	}
	return os.MkdirAll(dir, 0o700)
}
