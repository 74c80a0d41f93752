package main

import (
	"fmt"
	"runtime/debug"
)

// versionCommand is `woodproxy version`.
type versionCommand struct{}

// Run prints the module's version and the Go release that the program was built with.
func (*versionCommand) Run() error {
	text := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		text = info.Main.Version + " " + info.GoVersion
	}
	_, err := fmt.Println("woodproxy", text)
	return err
}
