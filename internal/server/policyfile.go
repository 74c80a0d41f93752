package server

import (
	"fmt"
	"os"

	"woodproxy/internal/configfile"
	"woodproxy/internal/settings"
)

// readPolicyFile decodes a TOML file into target, which holds the defaults, and then calls check, which validates and
// converts the values. Unknown keys are errors. An error is a single line that begins with the label, the kind of the file,
// and wraps the error of check.
func readPolicyFile(label, file string, target any, check func() error) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("%s: %w", label, err)
	}
	if err := configfile.DecodeTOML(text, target); err != nil {
		return fmt.Errorf("%s: %s: %w", label, file, err)
	}
	if err := check(); err != nil {
		return fmt.Errorf("%s: %s: %w", label, file, err)
	}
	return nil
}

// maxObjectiveTenths is the latency objective that is assumed if no route has a shorter one: a minute, in tenths of a
// millisecond.
const maxObjectiveTenths = 60 * 10000

// shortestObjective returns the shortest latency objective of all routes, in tenths of a millisecond. T is the time
// type of the calling module.
func shortestObjective[T ~int64](proxySettings *settings.Settings) T {
	shortest := T(maxObjectiveTenths)
	for _, route := range proxySettings.Balancer.Routes {
		shortest = min(shortest, T(route.Objective))
	}
	return shortest
}

// tenths converts milliseconds to tenths of a millisecond in the time type of a module.
func tenths[T ~int64](milliseconds float64) T { return T(settings.FromMilliseconds(milliseconds)) }
