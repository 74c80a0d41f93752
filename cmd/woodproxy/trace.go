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

// traceCommand implements the subcommand `woodproxy trace`.
type traceCommand struct {
	ID   string   `arg:"" help:"ID of the request, as sent by the client."`
	Logs []string `arg:"" help:"Log files of the proxies that may have received the request, as written by them." type:"existingfile"`
}

// maxLogLine is the maximum length of a log line, in bytes. A longer line is an error.
const maxLogLine = 1 << 20

// tracedLine is a log line about the request.
type tracedLine struct {
	at   float64 // Unix seconds
	file string
	text string
}

// Run prints the lines about the request in all logs, in order of time.
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
		return fmt.Errorf("no log line about request %q; at level info, only abnormal requests are logged", c.ID)
	}
	return nil
}

// search returns the lines about the request in a file. It skips lines that are not JSON objects.
func (c *traceCommand) search(name string) ([]tracedLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // errors of closing don't matter for a file that is only read
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
