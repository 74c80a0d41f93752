// Package testscript runs script files in tests. A script is a text file with one step per line, whose words are
// separated by white space. Lines that begin with # are comments. Each test package implements Runner to define the
// meaning of the steps.
//
// Only tests import this package.
package testscript
