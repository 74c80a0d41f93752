package emulator

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
)

// Log messages of proxies that the emulator searches for. They must match the texts of the proxy's log calls. messageStarted and
// messageNewRow are complete messages, the others are prefixes.
const (
	messageStarted  = "started"
	messageStalled  = "peers: process was suspended"
	messageCaughtUp = "peers: caught up"
	messageNewRow   = "new endpoint"
	// A line with messageInvariant has the name of the invariant in logLine.Invariant.
	messageInvariant = "invariant violated"
	messageZone      = "zones: zone " // followed by the name of the zone, ": " and a verdict
)

// Verdicts on a zone, as they are written in messages that begin with messageZone.
const (
	verdictStandalone = "evacuated standalone"            // prefix
	verdictOut        = "out ("                           // prefix
	verdictFromIn     = " from in,"                       // contained in a verdict with verdictOut if the zone was in service before
	verdictLeaving    = "leaving ("                       // prefix
	verdictServed     = "%f of its keys are served there" // format of a fraction from 0 to 1
)

// logLine is the decoded part of a line in a proxy's log.
type logLine struct {
	At   float64 `json:"ts"` // Unix seconds
	Msg  string  `json:"msg"`
	Peer string  `json:"peer"`

	Invariant string `json:"invariant"` // set in lines with messageInvariant
}

// eachLogLine calls f for each line of each proxy's log, in order. Lines that are not valid JSON are skipped.
func (r *runner) eachLogLine(f func(proxy int, line logLine)) {
	for i, m := range r.proxies {
		text, err := os.ReadFile(filepath.Join(m.config.Dir, "log"))
		if err != nil {
			continue // proxies in the test process have no log
		}
		for raw := range strings.SplitSeq(string(text), "\n") {
			var line logLine
			if json.Unmarshal([]byte(raw), &line) == nil {
				f(i, line)
			}
		}
	}
}
