// Package docs_test checks the documentation pages against the sources: quoted log texts, paths and names of tests.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"unicode"
)

const (
	repositoryRoot = ".."
	// minFixedLetters is the minimum number of letters outside format verbs that a text of the program needs to match a part
	// of a quoted line. Shorter texts would match by chance.
	minFixedLetters = 4
)

// checkedHeaders are the headers of table columns whose code spans quote the program.
var checkedHeaders = []string{"seen", "log line", "line", "line in the log"}

// TestQuotedTextsAreThePrograms checks the code spans in the first column of the on-call pages' tables. It fails if no
// source file contains a quoted log line, counter or field.
func TestQuotedTextsAreThePrograms(t *testing.T) {
	program := readProgramTexts(t)
	pages, err := filepath.Glob("oncall*.md")
	if err != nil {
		t.Fatal(err)
	}
	quotes := 0
	for _, page := range pages {
		for _, quoted := range quotedTexts(t, page) {
			quotes++
			for fragment := range strings.SplitSeq(quoted.text, "...") {
				if missing := program.uncoveredWords(fragment); len(missing) > 0 {
					t.Errorf("%s:%d: %q: no text of the program contains %q", page, quoted.line, quoted.text, missing)
				}
			}
		}
	}
	if quotes == 0 {
		t.Error("found no quoted text: the format of the pages or of this test has changed")
	}
}

// TestUncoveredWords checks that quotes of other wordings and unknown counters are reported.
func TestUncoveredWords(t *testing.T) {
	program := programTexts{newTemplate("node %d ejected: %d out, silent %d ms"), newTemplate("gone"), newTemplate("ClientsOpen")}
	for _, c := range []struct {
		name, quoted string
		uncovered    int
	}{
		{"a whole line", "node 7 ejected: 2 out, silent 600 ms", 0},
		{"a part of a line", "ejected:", 0},
		{"a placeholder for a figure", "node N ejected: ", 0},
		{"a counter", "ClientsOpen", 0},
		{"another wording", "node 7 passed over: 2 out", 3},
		{"an unknown counter", "ClientsClosed", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := program.uncoveredWords(c.quoted); len(got) != c.uncovered {
				t.Errorf("%q: got uncovered words %q, want %d", c.quoted, got, c.uncovered)
			}
		})
	}
}

// quotedText is a code span and its line number in the page.
type quotedText struct {
	text string
	line int
}

var codeSpan = regexp.MustCompile("`([^`]+)`")

// quotedTexts returns the code spans in the first columns of the tables of a page that have a checked header.
func quotedTexts(t *testing.T, page string) []quotedText {
	t.Helper()
	content, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	var quoted []quotedText
	header := ""
	for i, line := range strings.Split(string(content), "\n") {
		if !strings.HasPrefix(line, "|") {
			header = ""
			continue
		}
		first, _, _ := strings.Cut(strings.TrimPrefix(line, "|"), " |")
		first = strings.TrimSpace(first)
		if header == "" {
			header = first
			continue
		}
		for _, checked := range checkedHeaders {
			if header != checked {
				continue
			}
			for _, span := range codeSpan.FindAllStringSubmatch(first, -1) {
				quoted = append(quoted, quotedText{span[1], i + 1})
			}
		}
	}
	return quoted
}

// template is a string literal of the program, whose format verbs match any text.
type template struct {
	text     string
	patterns []*regexp.Regexp // one for each run of consecutive parts between verbs, except short runs
}

type programTexts []template

var formatVerb = regexp.MustCompile(`%[-+# 0]*\d*(?:\.\d+)?[a-zA-Z]`)

func newTemplate(text string) template {
	t := template{text: text}
	parts := formatVerb.Split(text, -1)
	for first := range parts {
		for last := first; last < len(parts); last++ {
			if run := parts[first : last+1]; countLetters(run) >= minFixedLetters {
				t.patterns = append(t.patterns, compileRun(run))
			}
		}
	}
	return t
}

// compileRun returns a pattern that matches the parts in their order, with up to 60 characters of verb output between two of
// them.
func compileRun(parts []string) *regexp.Regexp {
	quoted := make([]string, len(parts))
	for i, part := range parts {
		quoted[i] = regexp.QuoteMeta(part)
	}
	return regexp.MustCompile(strings.TrimSpace(strings.Join(quoted, `.{0,60}?`)))
}

func countLetters(parts []string) int {
	count := 0
	for _, part := range parts {
		for _, r := range part {
			if unicode.IsLetter(r) {
				count++
			}
		}
	}
	return count
}

// readProgramTexts returns the string literals of all source files except tests.
func readProgramTexts(t *testing.T) programTexts {
	t.Helper()
	var texts programTexts
	err := filepath.WalkDir(repositoryRoot, func(path string, _ fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			literal, ok := node.(*ast.BasicLit)
			if !ok || literal.Kind != token.STRING {
				return true
			}
			if text, err := strconv.Unquote(literal.Value); err == nil {
				texts = append(texts, newTemplate(text))
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return texts
}

var word = regexp.MustCompile(`[A-Za-z][A-Za-z'-]+`)

// uncoveredWords returns the words of a quoted text that no text of the program matches. It returns none if a text of the
// program contains the whole quote. Single letters are ignored, since they are placeholders for figures, and so are true
// and false.
func (p programTexts) uncoveredWords(quoted string) []string {
	quoted = strings.TrimSpace(quoted)
	covered := make([]bool, len(quoted))
	whole := map[string]bool{"true": true, "false": true}
	for _, t := range p {
		if strings.Contains(t.text, quoted) {
			return nil
		}
		whole[t.text] = true
		for _, pattern := range t.patterns {
			for _, match := range pattern.FindAllStringIndex(quoted, -1) {
				for i := match[0]; i < match[1]; i++ {
					covered[i] = true
				}
			}
		}
	}
	var uncovered []string
	for _, span := range word.FindAllStringIndex(quoted, -1) {
		text := quoted[span[0]:span[1]]
		if !whole[text] && (!covered[span[0]] || !covered[span[1]-1]) {
			uncovered = append(uncovered, text)
		}
	}
	return uncovered
}
