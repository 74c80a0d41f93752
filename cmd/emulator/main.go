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

// exitBadUsage is the exit code after bad usage.
const exitBadUsage = 2

// exitOnBadFlags ends the process where the command line could not be parsed, or was a call for help.
func exitOnBadFlags(code int) {
	if code != 0 {
		code = exitBadUsage
	}
	os.Exit(code)
}

// exitCode returns 1 for a violation and for what goes wrong, 2 for bad usage, 3 where the machine had no time.
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

// run parses the command line and runs its command until it ends or the process is interrupted.
func run() error {
	var commands struct {
		Check      checkCommand      `cmd:"" help:"Say whether days or experiments are good."`
		Play       playCommand       `cmd:"" help:"Play a day and check the rules."`
		Soak       soakCommand       `cmd:"" help:"Play drawn scenarios with overlapping faults, and judge them by invariants."`
		Growth     growthCommand     `cmd:"" help:"Play a day as it is and with more servers, and compare what a proxy needs."`
		Experiment experimentCommand `cmd:"" help:"Play days x seeds x variants and keep a table."`
		Compare    compareCommand    `cmd:"" help:"Say by how much variants differ."`
		Null       nullCommand       `cmd:"" help:"Answer every request at once, to measure what the load itself costs."`
		Spread     spreadCommand     `cmd:"" help:"Play one change through simulated fleets of proxies, and say how long it takes."`
		Chart      chartCommand      `cmd:"" help:"Draw a column of a table."`
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	parsed := kong.Parse(&commands, kong.Name("emulator"), kong.Description("Plays days of a deployment on loopback, with real proxies."),
		kong.Exit(exitOnBadFlags))
	parsed.BindTo(ctx, (*context.Context)(nil))
	return parsed.Run()
}
