package main

import (
	"fmt"
	"runtime/debug"
)

// versionCommand implements the subcommand `woodproxy version`.
type versionCommand struct{}

// Run prints the version of the module and the Go version that the program was built with.
func (*versionCommand) Run() error {
	text := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		text = info.Main.Version + " " + info.GoVersion
	}
	_, err := fmt.Println("woodproxy", text)
	return err
}
