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

// sourcePath matches a code span that names a file or directory of this repository.
var sourcePath = regexp.MustCompile(`^(?:balancer|cmd|deploy|docs|duties|internal|negativecache|rebalance|recovery|replica|zonehealth)(?:/[\w.-]+)*/?$`)

// TestPathsExist checks that the files and directories named in the pages exist.
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
		t.Error("found no path: the format of the pages or of this test has changed")
	}
}

// testName matches a code span that names a test function by its package.
var testName = regexp.MustCompile(`^(\w+)\.((?:Test|Fuzz)\w+)$`)

// TestTestNamesExist checks that the tests named in the pages on failures and on fault coverage exist.
func TestTestNamesExist(t *testing.T) {
	for _, page := range []string{"failures.md", "fault-coverage.md"} {
		checkTestNames(t, page)
	}
}

func checkTestNames(t *testing.T, page string) {
	t.Helper()
	content, err := os.ReadFile(page)
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
			t.Errorf("%s: %s: no such test", page, span[1])
		}
	}
	if names == 0 {
		t.Errorf("%s: found no test: the format of the page or of this test has changed", page)
	}
}

// hasTest reports whether a package of this repository has a test function with the given name.
func hasTest(t *testing.T, packageName, test string) bool {
	t.Helper()
	for _, pattern := range []string{packageName, filepath.Join("internal", packageName), filepath.Join("cmd", packageName)} {
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

// coverageCell matches a number in a table cell of the page on fault coverage.
var coverageCell = regexp.MustCompile(`\b\d{1,2}\b`)

// TestCoverageNumbers checks that each number in a cell of the page on fault coverage is in its list of tests, that each
// test of the list is used in a cell, and that the scripts in the list exist as files.
func TestCoverageNumbers(t *testing.T) {
	content, err := os.ReadFile("fault-coverage.md")
	if err != nil {
		t.Fatal(err)
	}
	cells, list, found := strings.Cut(string(content), "## Tests")
	if !found {
		t.Fatal("fault-coverage.md: found no list of tests")
	}
	listed, used := map[string]string{}, map[string]bool{}
	for _, row := range regexp.MustCompile("(?m)^\\| (\\d+) \\| `([^`]+)` \\|$").FindAllStringSubmatch(list, -1) {
		listed[row[1]] = row[2]
		if testName.MatchString(row[2]) {
			continue
		}
		scripts, err := filepath.Glob(filepath.Join(repositoryRoot, "*", "scenarios", row[2]+".txt"))
		if err != nil {
			t.Fatal(err)
		}
		more, err := filepath.Glob(filepath.Join(repositoryRoot, "internal", "*", "scenarios", row[2]+".txt"))
		if err != nil {
			t.Fatal(err)
		}
		if len(scripts)+len(more) == 0 {
			t.Errorf("%s: no such script", row[2])
		}
	}
	for _, row := range strings.Split(cells, "\n") {
		columns := strings.Split(row, "|")
		if len(columns) < 6 {
			continue
		}
		for _, column := range columns[2:] {
			column, _, _ = strings.Cut(column, "**open**")
			for _, number := range coverageCell.FindAllString(column, -1) {
				used[number] = true
				if listed[number] == "" {
					t.Errorf("%s: no such number in the list", number)
				}
			}
		}
	}
	for number, test := range listed {
		if !used[number] {
			t.Errorf("%s %s: used in no cell", number, test)
		}
	}
}
