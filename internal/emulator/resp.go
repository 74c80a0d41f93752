package emulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Bounds on what is read in RESP2.
const (
	maxBulkLength   = 64 << 20 // bytes
	maxCommandWords = 16
	minCommandWords = 5 // that ReadCommand returns
)

const nullBulk = "$-1"

var (
	errEmptyLine      = errors.New("an empty line")
	errConnectionEnds = errors.New("the connection ends with the answer")
)

// ReadElement reads one element of RESP2: its opening line without the line end and, of a bulk string, its content.
func ReadElement(r *bufio.Reader) (head, body string, err error) {
	if head, err = r.ReadString('\n'); err != nil {
		return "", "", err
	}
	if head = strings.TrimRight(head, "\r\n"); head == "" {
		return "", "", errEmptyLine
	}
	if head[0] != '$' || head == nullBulk {
		return head, "", nil
	}
	length, err := strconv.Atoi(head[1:])
	if err != nil || length < 0 || length > maxBulkLength {
		return "", "", fmt.Errorf("a length %q", head)
	}
	content := make([]byte, length+len("\r\n"))
	if _, err = io.ReadFull(r, content); err != nil {
		return "", "", err
	}
	return head, string(content[:length]), nil
}

// encodeCommand returns a command as an array of bulk strings.
func encodeCommand(words ...string) []byte {
	b := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, w := range words {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b
}

// ReadCommand reads a command's words. It returns at least five, of which those that the command lacks are empty.
func ReadCommand(r *bufio.Reader) ([]string, error) {
	head, err := r.ReadString('\n')
	if err != nil {
		return nil, err
	}
	count, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(head, "*")))
	if err != nil || count < 1 || count > maxCommandWords {
		return nil, errConnectionEnds
	}
	words := make([]string, max(count, minCommandWords))
	for i := range count {
		if _, words[i], err = ReadElement(r); err != nil {
			return nil, err
		}
	}
	return words, nil
}

// value returns what a node makes for a request: its beginning tells by whom and for which request it was made.
func value(maker, id string, size int) string {
	v := maker + ":" + id
	return v + strings.Repeat(".", max(size-len(v), 0))
}

// parseValue returns by which node and for which request a value was made.
func parseValue(v string) (maker, id string) {
	maker, id, _ = strings.Cut(strings.TrimRight(v, "."), ":")
	return maker, id
}

// idempotencyKeyOf returns the idempotency key among a request's facts, "" where there is none.
func idempotencyKeyOf(facts string) string {
	for fact := range strings.SplitSeq(facts, ",") {
		if key, ok := strings.CutPrefix(fact, "k="); ok {
			return key
		}
	}
	return ""
}

// waitOf returns for how long an attempt's facts say that the proxy waits, in milliseconds; 0 where they do not.
func waitOf(facts string) float64 {
	for fact := range strings.SplitSeq(facts, ",") {
		if text, ok := strings.CutPrefix(fact, "d="); ok {
			wait, _ := strconv.ParseFloat(text, 64) // 0 where it is no number
			return wait
		}
	}
	return 0
}
