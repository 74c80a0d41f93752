package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(record string){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	cases[os.Args[1]](os.Args[2])
}
