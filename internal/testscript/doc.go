// Package testscript runs the script files of tests: text files with one step a line, whose words are separated by
// blanks. Lines that begin with # are comments. The test of each package says what the steps mean, by a Runner.
//
// It is imported by tests only.
package testscript
