package docs_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// sourcePath is a code span that names a file or directory of this repository.
var sourcePath = regexp.MustCompile(`^(?:balancer|cmd|deploy|docs|duties|internal|negativecache|rebalance|recovery|replica|zonehealth)(?:/[\w.-]+)*/?$`)

// TestPathsExist checks that the pages name files and directories that are there.
func TestPathsExist(t *testing.T) {
	pages, err := filepath.Glob("*.md")
	if err != nil {
		t.Fatal(err)
	}
	paths := 0
	for _, page := range append(pages, "../README.md") {
		content, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(content), "\n") {
			for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
				if !sourcePath.MatchString(span[1]) || !strings.Contains(span[1], "/") {
					continue
				}
				paths++
				if _, err := os.Stat(filepath.Join(repositoryRoot, span[1])); err != nil {
					t.Errorf("%s:%d: %v", page, i+1, err)
				}
			}
		}
	}
	if paths == 0 {
		t.Error("no path was found: the pages or this test have changed their form")
	}
}
