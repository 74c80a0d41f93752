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

	"woodproxy/internal/snapshot"

	"github.com/cespare/xxhash/v2"
)

// Layout of the file: magic and version, checksum of the body, body.
const (
	fileName   = "woodproxy.state"
	magic      = "WOODPRX"
	version    = 1
	checksumAt = 8
	bodyAt     = 16
	maxLength  = 16 << 20
)

// owner is the proxy that the golden files belong to.
const owner = "proxy-a"

// snapshots are what the golden file holds, by name.
func snapshots() map[string]snapshot.Snapshot {
	return map[string]snapshot.Snapshot{
		"full": {
			Owner: owner, Cluster: "cluster-1", At: time.Unix(1700000000, 123456789), Index: 70000,
			List:  []byte(`{"index":0,"snapshot":true,"endpoints":[{"name":"node-1","address":"192.0.2.1:11211","status":"active"}]}`),
			Peers: []string{"192.0.2.2:7946", "192.0.2.3:7946"},
		},
		"empty": {Owner: owner},
	}
}

// TestGoldenStateFile pins the bytes of the file: what Save writes, and that Load reads the golden bytes back whole.
func TestGoldenStateFile(t *testing.T) {
	names := []string{"full", "empty"}
	var encodings []encoding
	for _, name := range names {
		snapshot := snapshots()[name]
		encodings = append(encodings, encoding{name, saved(t, snapshot)})
	}
	for i, golden := range compareGolden(t, "state.golden", encodings) {
		got, err := load(t, golden)
		if got == nil || err != nil {
			t.Errorf("%s: %v %v", names[i], got, err)
			continue
		}
		want := snapshots()[names[i]]
		if !got.At.Equal(want.At) {
			t.Errorf("%s: written at %v, want %v", names[i], got.At, want.At)
		}
		got.At = want.At // the zone of a time is not kept
		if !reflect.DeepEqual(*got, want) {
			t.Errorf("%s: read as\n%+v, want\n%+v", names[i], *got, want)
		}
	}
}

// TestStateSnapshotFields fails when a field is added to the snapshot that the golden file does not pin.
func TestStateSnapshotFields(t *testing.T) {
	full := reflect.ValueOf(snapshots()["full"])
	for i := range full.NumField() {
		if full.Field(i).IsZero() {
			t.Errorf("%s: not set", full.Type().Field(i).Name)
		}
	}
}

// TestStateFileRefused checks which files are refused, and that the error tells why.
func TestStateFileRefused(t *testing.T) {
	good := goldenFile(t)
	for _, c := range []struct {
		name string
		file []byte
		want string
	}{
		{"empty", nil, "0 bytes"},
		{"short", good[:bodyAt-1], "15 bytes"},
		{"foreign magic", changed(good, 0, 'X'), "it is no state of a proxy"},
		{"other magic at its last byte", changed(good, len(magic)-1, 'x'), "it is no state of a proxy"},
		{"earlier version", changed(good, len(magic), 0), "version 0, and this program reads 1"},
		{"later version", changed(good, len(magic), version+1), "version 2, and this program reads 1"},
		{"checksum", changed(good, checksumAt, ^good[checksumAt]), "its checksum is another"},
		{"body", changed(good, len(good)-1, ^good[len(good)-1]), "its checksum is another"},
		{"no body", good[:bodyAt], "its checksum is another"},
		{"longer than it was written", append(bytes.Clone(good), 0), "its checksum is another"},
		{"a body that can't be decoded", withBody([]byte{0xc1}), ""},
		{"a body that is cut off, with its checksum", withBody(good[bodyAt : len(good)-1]), ""},
		{"too long", withBody(make([]byte, maxLength-bodyAt+1)), "over 16777216 bytes"},
	} {
		got, err := load(t, c.file)
		var torn *snapshot.TornError
		if got != nil || !errors.As(err, &torn) || !strings.Contains(torn.What, c.want) {
			t.Errorf("%s: %+v %v, want %q", c.name, got, err, c.want)
		}
	}
}

// TestStateFileOfLaterVersion checks that a field that this version does not know is passed over.
func TestStateFileOfLaterVersion(t *testing.T) {
	body := bytes.Clone(goldenFile(t)[bodyAt:])
	body[0]++ // one more field in the map
	body = append(body, 0xa3, 'n', 'e', 'w', 0x92, 0x01, 0x02)
	got, err := load(t, withBody(body))
	if err != nil || got == nil || got.Owner != owner || got.Index != 70000 {
		t.Errorf("%+v %v", got, err)
	}
}

// TestStateFileAside pins the name under which a file that can't be read is kept.
func TestStateFileAside(t *testing.T) {
	dir := t.TempDir()
	store := open(t, dir)
	writeFile(t, dir, []byte("garbled"))
	if err := store.Aside(); err != nil {
		t.Fatal(err)
	}
	if kept, err := os.ReadFile(filepath.Join(dir, fileName+".unreadable")); err != nil || string(kept) != "garbled" {
		t.Errorf("%q %v", kept, err)
	}
}

func open(t *testing.T, dir string) *snapshot.Store {
	t.Helper()
	store, err := snapshot.Open(dir, owner)
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// saved is the only file that Save leaves in its directory.
func saved(t *testing.T, snapshot snapshot.Snapshot) []byte {
	t.Helper()
	dir := t.TempDir()
	if err := open(t, dir).Save(&snapshot); err != nil {
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

// load has a store read a file of these bytes.
func load(t *testing.T, file []byte) (*snapshot.Snapshot, error) {
	t.Helper()
	dir := t.TempDir()
	store := open(t, dir)
	writeFile(t, dir, file)
	return store.Load()
}

func writeFile(t *testing.T, dir string, file []byte) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, fileName), file, 0o600); err != nil {
		t.Fatal(err)
	}
}

// goldenFile is the file of the full snapshot.
func goldenFile(t *testing.T) []byte {
	t.Helper()
	return readGolden(t, filepath.Join("testdata", "state.golden"))[0].encoded
}

// changed is a copy of a file with one byte replaced.
func changed(file []byte, at int, to byte) []byte {
	file = bytes.Clone(file)
	file[at] = to
	return file
}

// withBody is a file with a valid header for its body.
func withBody(body []byte) []byte {
	header := append([]byte(magic), version)
	header = binary.LittleEndian.AppendUint64(header, xxhash.Sum64(body))
	return append(header, body...)
}
