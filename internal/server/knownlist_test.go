package server

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
)

// writeFleetConfig writes a configuration file whose known endpoint list has the given number of servers, and returns its
// name.
func writeFleetConfig(t *testing.T, servers int) string {
	t.Helper()
	rows := make([]string, servers)
	for i := range rows {
		rows[i] = fmt.Sprintf(`{"name":"s-%08x","address":"10.1.%d.%d:6379","zone":"a","type":"m2","group":3,"status":"active","weight":1,"since_ms":0}`,
			i, i/250, i%250)
	}
	file := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"known":{"index":41,"snapshot":true,"endpoints":[%s]},"name":"n1"}`, strings.Join(rows, ","))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// TestKnownEndpointsKeepNoDocument guards against the endpoint list of the configuration staying in memory as a parsed JSON
// document, which was several times as large as its text.
func TestKnownEndpointsKeepNoDocument(t *testing.T) {
	const servers, maxBytesEach = 3200, 1 << 10
	file := writeFleetConfig(t, servers)
	before := liveHeap()
	config, err := readConfigFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if each := (liveHeap() - before) / servers; each > maxBytesEach {
		t.Errorf("got %d bytes of heap for each of %d servers, want at most %d", each, servers, maxBytesEach)
	}
	if len(config.known.Endpoints) != servers || config.known.Index != 41 || string(config.document.GetStringBytes("name")) != "n1" {
		t.Errorf("got index %d, %d endpoints and document %v", config.known.Index, len(config.known.Endpoints), config.document)
	}
}

// liveHeap returns the size of the live heap in bytes.
func liveHeap() int64 {
	runtime.GC()
	runtime.GC() // the first call may leave objects for this one to free
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
