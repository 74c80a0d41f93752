// Simhost plays the decision module on the simulator's wire, on standard input and output.
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
