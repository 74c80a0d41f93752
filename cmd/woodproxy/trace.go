package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
)

// traceCommand is `woodproxy trace`.
type traceCommand struct {
	ID   string   `arg:"" help:"The request's id, as the client gave it."`
	Logs []string `arg:"" help:"Logs of the proxies that may have had it, as they wrote them." type:"existingfile"`
}

// maxLogLine bounds a line of a log, in bytes; longer ones end the reading of that file.
const maxLogLine = 1 << 20

// tracedLine is a line of a log that concerns the request.
type tracedLine struct {
	at   float64 // Unix seconds
	file string
	text string
}

// Run prints the lines of all logs that concern the request, by time.
func (c *traceCommand) Run() error {
	var lines []tracedLine
	for _, file := range c.Logs {
		found, err := c.search(file)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b tracedLine) int { return cmp.Compare(a.at, b.at) })
	for _, line := range lines {
		fmt.Printf("%s: %s\n", line.file, line.text)
	}
	if len(lines) == 0 {
		return fmt.Errorf("no line concerns %q; at info level, lines are written of requests that ended badly", c.ID)
	}
	return nil
}

// search returns the lines of a file that concern the request. Lines that are no JSON objects are skipped.
func (c *traceCommand) search(name string) ([]tracedLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // it was only read
	return c.filter(name, file)
}

func (c *traceCommand) filter(name string, log io.Reader) (lines []tracedLine, err error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		var fields struct {
			At  float64  `json:"ts"`
			ID  string   `json:"id"`
			IDs []string `json:"ids"`
		}
		if json.Unmarshal(scanner.Bytes(), &fields) != nil {
			continue
		}
		if fields.ID == c.ID || slices.Contains(fields.IDs, c.ID) {
			lines = append(lines, tracedLine{fields.At, name, scanner.Text()})
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return lines, nil
}
