// Package faultbuild builds the proxy with fault injection below the program: the standard library's files for system
// calls and the wall clock are patched during the build (go build -overlay), so that another process can make calls fail
// or transfer fewer bytes, and step the wall clock, while the proxy runs. The sources of the program are not changed, and
// the deployed binary contains none of these patches.
//
// The other process controls the faults through a Page, a file that both processes map into memory. If the toolchain's
// files no longer contain the text to patch, the build fails with a PatchError that names the file and the text.
package faultbuild
