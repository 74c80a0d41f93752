package snapshot

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

func some() *Snapshot {
	return &Snapshot{Cluster: "c", At: time.Unix(1000, 0).UTC(), Index: 41, List: []byte(`{"index":41}`), Peers: []string{"127.0.0.1:7946"}}
}

// What is read is what was written, or nothing: a write that ends at any byte leaves the one before, and a file that is cut off or
// changed at any byte is not believed.
func TestWholeOrNot(t *testing.T) {
	dir := t.TempDir()
	s, err := Open(dir, "n1")
	if err != nil {
		t.Fatal(err)
	}
	if old, err := s.Load(); old != nil || err != nil {
		t.Fatalf("%+v %v", old, err)
	}
	if err := s.Save(some()); err != nil {
		t.Fatal(err)
	}
	good, _ := os.ReadFile(filepath.Join(dir, name))
	later := some()
	later.Index = 42
	for n := range len(good) {
		s.write = func(file string, b []byte) error { // the process is killed after n bytes, or the disk is full
			os.WriteFile(filepath.Join(dir, name+".new-1"), b[:min(n, len(b))], 0o600)
			return errors.New("no space left")
		}
		if s.Save(later) == nil {
			t.Fatal("a failed write is not told")
		}
		if old, err := s.Load(); err != nil || old.Index != 41 || old.Owner != "n1" || string(old.List) != `{"index":41}` {
			t.Fatalf("after %d bytes: %+v %v", n, old, err)
		}
	}
	var torn *TornError
	for n := range len(good) {
		if _, err := parse(good[:n]); !errors.As(err, &torn) {
			t.Errorf("cut off at %d: %v", n, err)
		}
		bad := bytes.Clone(good)
		bad[n] ^= 0x10
		if _, err := parse(bad); !errors.As(err, &torn) {
			t.Errorf("changed at %d: %v", n, err)
		}
	}
	os.WriteFile(filepath.Join(dir, name), good[:20], 0o600)
	if _, err := s.Load(); !errors.As(err, &torn) {
		t.Errorf("%v", err)
	}
	if err := s.Aside(); err != nil {
		t.Error(err)
	}
	if old, err := s.Load(); old != nil || err != nil {
		t.Errorf("%+v %v", old, err)
	}
}

// A directory that can't be used is told by its type.
func TestBadDirectories(t *testing.T) {
	var dir *DirError
	if _, err := Open(filepath.Join(t.TempDir(), "none"), "n1"); !errors.As(err, &dir) {
		t.Errorf("%v", err)
	}
	file := filepath.Join(t.TempDir(), "file")
	os.WriteFile(file, nil, 0o600)
	if _, err := Open(file, "n1"); !errors.As(err, &dir) {
		t.Errorf("%v", err)
	}
	mine := t.TempDir()
	s, _ := Open(mine, "n1")
	s.Save(some())
	var owner *OwnerError
	if _, err := Open(mine, "n2"); !errors.As(err, &owner) || owner.Owner != "n1" {
		t.Errorf("%v", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(magic + "12345678"))
	f.Fuzz(func(t *testing.T, b []byte) { parse(b) })
}
