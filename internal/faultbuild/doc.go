// Package faultbuild builds the proxy with faults below the program: the toolchain's own files for system calls and the
// wall clock are patched as the program is built (go build -overlay), so that another process can have calls fail or come
// short, and the wall clock step, while the proxy runs. The sources of the program stay as they are, and nothing of this
// reaches the binary that is deployed.
//
// The other process steers a Page: a file that both map into memory. A toolchain whose files no longer hold what is
// patched fails the build with a PatchError that names the file and the text.
package faultbuild
