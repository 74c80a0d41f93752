// Command rig runs one case of the review: stand-ins of clients, cache nodes, the origin and discovery round real proxies.
//
// Usage: rig CASE ROOT RECORD. It ends with 0 if the rule held, 1 if it was broken and 2 if the case could not run. With TROUBLE=0 in
// the environment it does the same without the disruption.
package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(r *rig) error{
	"length":     runLength,
	"noise":      runNoise,
	"slowlist":   runSlowList,
	"staleagent": runStaleAgent,
	"replaced":   runReplaced,
	"crowd":      runCrowd,
}

// longestRun is the time after which a case has no verdict.
const longestRun = 115 * time.Second

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// endOnSignal ends the run and all processes that it started on a signal, and when it takes too long.
func (r *rig) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case s := <-signals:
			r.note("ended by %v", s)
		case <-time.After(longestRun):
			r.note("ended after %v", longestRun)
		}
		r.mu.Lock() // for good: nothing is started or recorded any more
		for _, p := range r.processes {
			_ = p.Kill() // fails only if the process has ended
		}
		_ = r.record.Flush()
		_ = os.RemoveAll(r.temp)
		os.Exit(2)
	}()
}

func run(name, root, record string) int {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	temp, err := os.MkdirTemp("", "woodproxy-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(temp) }()
	r := &rig{
		root: root, temp: temp, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: bufio.NewWriter(file),
		random: &lockedRandom{source: rand.New(rand.NewPCG(1, 2))},
	}
	r.note("case %s, disruption %v", name, r.trouble)
	r.endOnSignal()
	err = cases[name](r)
	status, verdict := 0, "held"
	switch {
	case len(r.broken) > 0:
		status, verdict = 1, fmt.Sprintf("broken, %d times; first: %s", len(r.broken), r.broken[0])
	case err != nil:
		status, verdict = 2, "no verdict: "+err.Error()
	}
	r.note("the rule: %s", verdict)
	fmt.Printf("case %s: %s\n", name, verdict)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.record.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	_ = file.Close()
	return status
}
