package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
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

// testName is a code span that names a test function by its package.
var testName = regexp.MustCompile(`^(\w+)\.((?:Test|Fuzz)\w+)$`)

// TestTestNamesExist checks that the page on failures names tests that are there.
func TestTestNamesExist(t *testing.T) {
	content, err := os.ReadFile("failures.md")
	if err != nil {
		t.Fatal(err)
	}
	names := 0
	for _, span := range codeSpan.FindAllStringSubmatch(string(content), -1) {
		name := testName.FindStringSubmatch(span[1])
		if name == nil {
			continue
		}
		names++
		if !hasTest(t, name[1], name[2]) {
			t.Errorf("failures.md: %s: no such test", span[1])
		}
	}
	if names == 0 {
		t.Error("no test was found: the page or this test has changed its form")
	}
}

// hasTest tells whether a package of this repository has a test function of that name.
func hasTest(t *testing.T, packageName, test string) bool {
	t.Helper()
	for _, pattern := range []string{packageName, filepath.Join("internal", packageName)} {
		files, err := filepath.Glob(filepath.Join(repositoryRoot, pattern, "*_test.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range files {
			file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
			if err != nil {
				t.Fatal(err)
			}
			for _, declaration := range file.Decls {
				function, ok := declaration.(*ast.FuncDecl)
				if ok && function.Recv == nil && function.Name.Name == test {
					return true
				}
			}
		}
	}
	return false
}
