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

// TestTestNamesExist checks that the pages on failures and on their coverage name tests that are there.
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
		t.Errorf("%s: no test was found: the page or this test has changed its form", page)
	}
}

// hasTest tells whether a package of this repository has a test function of that name.
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

// coverageCell is a number in a cell of the tables of the page on coverage.
var coverageCell = regexp.MustCompile(`\b\d{1,2}\b`)

// TestCoverageNumbers checks that each number in a cell stands for a test in the list, and that each test in the list
// stands in a cell; scripts that the list names are files.
func TestCoverageNumbers(t *testing.T) {
	content, err := os.ReadFile("fault-coverage.md")
	if err != nil {
		t.Fatal(err)
	}
	cells, list, found := strings.Cut(string(content), "## Tests")
	if !found {
		t.Fatal("no list of tests")
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
			t.Errorf("%s %s: stands in no cell", number, test)
		}
	}
}
