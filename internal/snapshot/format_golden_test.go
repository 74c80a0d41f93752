package snapshot_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"woodproxy/internal/goldentest"

	"woodproxy/internal/snapshot"

	"github.com/cespare/xxhash/v2"
)

// Layout of the state file: magic number and version, checksum of the body, body.
const (
	fileName       = "woodproxy.state"
	magic          = "WOODPRX"
	version        = 1
	checksumOffset = 8
	bodyOffset     = 16
	maxLength      = 16 << 20
)

// owner is the name of the proxy in the golden files.
const owner = "proxy-a"

// goldenCase is the snapshot in one line of the golden file.
type goldenCase struct {
	name     string
	snapshot snapshot.Snapshot
}

// fullSnapshot returns a snapshot with every field set.
func fullSnapshot() snapshot.Snapshot {
	return snapshot.Snapshot{
		Owner: owner, Cluster: "cluster-1", SavedAt: time.Unix(1700000000, 123456789), EndpointListIndex: 70000,
		EndpointList:  []byte(`{"index":0,"snapshot":true,"endpoints":[{"name":"node-1","address":"192.0.2.1:11211","status":"active"}]}`),
		PeerAddresses: []string{"192.0.2.2:7946", "192.0.2.3:7946"},
	}
}

// goldenCases returns the snapshots of the golden file in order.
func goldenCases() []goldenCase {
	return []goldenCase{
		{"full", fullSnapshot()},
		{"empty", snapshot.Snapshot{Owner: owner}},
	}
}

// TestStateFileMatchesGolden pins the bytes that Save writes, and checks that Load reads every field of the golden files
// back.
func TestStateFileMatchesGolden(t *testing.T) {
	cases := goldenCases()
	var encodings []goldentest.Encoding
	for _, test := range cases {
		encodings = append(encodings, goldentest.Encoding{Name: test.name, Encoded: saveToFile(t, test.snapshot)})
	}
	for i, golden := range goldentest.Encodings(t, "state.golden", encodings) {
		t.Run(cases[i].name, func(t *testing.T) {
			got, err := loadFromFile(t, golden)
			if got == nil || err != nil {
				t.Fatalf("Load: %v %v, want a snapshot and no error", got, err)
			}
			want := cases[i].snapshot
			if !got.SavedAt.Equal(want.SavedAt) {
				t.Errorf("SavedAt: got %v, want %v", got.SavedAt, want.SavedAt)
			}
			got.SavedAt = want.SavedAt // the time zone is not stored
			if !reflect.DeepEqual(*got, want) {
				t.Errorf("Load: got\n%+v, want\n%+v", *got, want)
			}
		})
	}
}

// TestGoldenSnapshotSetsEveryField fails if a new field of Snapshot is not pinned by the golden file.
func TestGoldenSnapshotSetsEveryField(t *testing.T) {
	full := reflect.ValueOf(fullSnapshot())
	for i := range full.NumField() {
		if full.Field(i).IsZero() {
			t.Errorf("field %s is not set", full.Type().Field(i).Name)
		}
	}
}

// TestLoadRejectsInvalidFile checks that Load rejects each invalid file with a CorruptError that gives the reason.
func TestLoadRejectsInvalidFile(t *testing.T) {
	good := goldenFile(t)
	for _, test := range []struct {
		name string
		file []byte
		want string
	}{
		{"empty", nil, "0 bytes, shorter than the header"},
		{"short", good[:bodyOffset-1], "15 bytes, shorter than the header"},
		{"wrong first byte of magic", withByte(good, 0, 'X'), "not a state file of a proxy"},
		{"wrong last byte of magic", withByte(good, len(magic)-1, 'x'), "not a state file of a proxy"},
		{"earlier version", withByte(good, len(magic), 0), "format version 0, want 1"},
		{"later version", withByte(good, len(magic), version+1), "format version 2, want 1"},
		{"checksum", withByte(good, checksumOffset, ^good[checksumOffset]), "checksum mismatch"},
		{"body", withByte(good, len(good)-1, ^good[len(good)-1]), "checksum mismatch"},
		{"no body", good[:bodyOffset], "checksum mismatch"},
		{"trailing byte", append(bytes.Clone(good), 0), "checksum mismatch"},
		{"body not decodable", withBody([]byte{0xc1}), ""},
		{"truncated body with a valid checksum", withBody(good[bodyOffset : len(good)-1]), ""},
		{"too long", withBody(make([]byte, maxLength-bodyOffset+1)), "longer than 16777216 bytes"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := loadFromFile(t, test.file)
			var corrupt *snapshot.CorruptError
			if got != nil || !errors.As(err, &corrupt) || !strings.Contains(corrupt.Reason, test.want) {
				t.Errorf("Load: %+v %v, want a %T with reason %q", got, err, corrupt, test.want)
			}
		})
	}
}

// TestLoadSkipsUnknownField checks that Load reads a file with a field that a later version of the program has added.
func TestLoadSkipsUnknownField(t *testing.T) {
	body := bytes.Clone(goldenFile(t)[bodyOffset:])
	body[0]++ // one more field in the map
	body = append(body, 0xa3, 'n', 'e', 'w', 0x92, 0x01, 0x02)
	got, err := loadFromFile(t, withBody(body))
	if err != nil || got == nil || got.Owner != owner || got.EndpointListIndex != 70000 {
		t.Errorf("Load: %+v %v, want the full snapshot", got, err)
	}
}

// TestQuarantineKeepsContentUnderNewName pins the name to which Quarantine renames the state file.
func TestQuarantineKeepsContentUnderNewName(t *testing.T) {
	dir := t.TempDir()
	store := openStore(t, dir)
	writeStateFile(t, dir, []byte("garbled"))
	if err := store.Quarantine(); err != nil {
		t.Fatal(err)
	}
	if kept, err := os.ReadFile(filepath.Join(dir, fileName+".unreadable")); err != nil || string(kept) != "garbled" {
		t.Errorf("quarantined file: %q %v, want the unchanged content", kept, err)
	}
}

func openStore(t *testing.T, dir string) *snapshot.Store {
	t.Helper()
	store, err := snapshot.Open(dir, owner)
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// saveToFile saves a snapshot in a new directory and returns the content of the state file. It fails the test if Save leaves
// another file in the directory.
func saveToFile(t *testing.T, snapshot snapshot.Snapshot) []byte {
	t.Helper()
	dir := t.TempDir()
	if err := openStore(t, dir).Save(&snapshot); err != nil {
		t.Fatal(err)
	}
	entries, err := os.ReadDir(dir)
	if err != nil || len(entries) != 1 || entries[0].Name() != fileName {
		t.Fatalf("files %v, want %s: %v", entries, fileName, err)
	}
	file, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// loadFromFile loads a state file with the given content from a new directory.
func loadFromFile(t *testing.T, file []byte) (*snapshot.Snapshot, error) {
	t.Helper()
	dir := t.TempDir()
	store := openStore(t, dir)
	writeStateFile(t, dir, file)
	return store.Load()
}

func writeStateFile(t *testing.T, dir string, file []byte) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, fileName), file, 0o600); err != nil {
		t.Fatal(err)
	}
}

// goldenFile returns the golden state file of the full snapshot.
func goldenFile(t *testing.T) []byte {
	t.Helper()
	return goldentest.ReadEncodings(t, "state.golden")[0].Encoded
}

// withByte returns a copy of a file's content with the byte at offset replaced.
func withByte(file []byte, offset int, replacement byte) []byte {
	file = bytes.Clone(file)
	file[offset] = replacement
	return file
}

// withBody returns the content of a state file with the given body and a valid header.
func withBody(body []byte) []byte {
	header := append([]byte(magic), version)
	header = binary.LittleEndian.AppendUint64(header, xxhash.Sum64(body))
	return append(header, body...)
}
