package server_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files with what the code gives today")

// checkGolden compares a text with the golden file of that name. A missing file is a failure: only -update writes one.
func checkGolden(t *testing.T, name, got string) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatalf("golden file: %v (-update writes it)", err)
	}
	if got != string(want) {
		t.Errorf("%s differs from today's output\n%s", file, firstDifference(got, string(want)))
	}
}

// firstDifference shows the first line in which two texts differ.
func firstDifference(got, want string) string {
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(want, "\n")
	line := func(all []string, i int) string {
		if i < len(all) {
			return all[i]
		}
		return "(end)"
	}
	i := 0
	for i < len(gotLines) && i < len(wantLines) && gotLines[i] == wantLines[i] {
		i++
	}
	return "got:  " + line(gotLines, i) + "\nwant: " + line(wantLines, i)
}
