// Emulator runs scenarios of a deployment on loopback, with real proxies among simulated servers and clients, and
// experiments that repeat scenarios over variants. It prints results on standard output; an error is one line on
// standard error and exit status 1.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "emulator:", err)
		os.Exit(exitCode(err))
	}
}

// exitBadUsage is the exit code after an error in the command line or a file.
const exitBadUsage = 2

// exitOnBadFlags exits after an error in the command line, or after the help text.
func exitOnBadFlags(code int) {
	if code != 0 {
		code = exitBadUsage
	}
	os.Exit(code)
}

// exitCode returns 2 for a usageError, 3 if the machine was overloaded, and 1 for a violation and any other error.
func exitCode(err error) int {
	var usage usageError
	switch {
	case errors.As(err, &usage):
		return exitBadUsage
	case errors.Is(err, errMachineOverloaded):
		return 3
	}
	return 1
}

// run parses the command line and runs the command, whose context ends when the process is interrupted.
func run() error {
	var commands struct {
		Check      checkCommand      `cmd:"" help:"Check scenario or experiment files without running them."`
		Play       playCommand       `cmd:"" help:"Run a scenario and check its invariants."`
		Soak       soakCommand       `cmd:"" help:"Run drawn scenarios with overlapping faults and check their invariants."`
		Growth     growthCommand     `cmd:"" help:"Run a scenario as it is and with more servers, and compare the resources that a proxy needs."`
		Experiment experimentCommand `cmd:"" help:"Run scenarios x seeds x variants and write a table."`
		Compare    compareCommand    `cmd:"" help:"Compare the variants of a table."`
		Null       nullCommand       `cmd:"" help:"Reply to every request at once, to measure the cost of the load generator."`
		Spread     spreadCommand     `cmd:"" help:"Measure how long one change takes to reach all proxies of simulated fleets."`
		Chart      chartCommand      `cmd:"" help:"Draw a column of a table."`
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	parsed := kong.Parse(&commands, kong.Name("emulator"), kong.Description("Runs scenarios of a deployment on loopback, with real proxies."),
		kong.Exit(exitOnBadFlags))
	parsed.BindTo(ctx, (*context.Context)(nil))
	return parsed.Run()
}
