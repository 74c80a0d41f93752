// Simhost runs balancers under the simulator. It reads the simulator's protocol from standard input and writes replies
// to standard output.
package main

import (
	"fmt"
	"os"

	"woodproxy/internal/simadapter"
)

func main() {
	if err := simadapter.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
