package emulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Bounds on the RESP2 input that is accepted.
const (
	maxBulkLength   = 64 << 20 // bytes
	maxCommandWords = 16
	minCommandWords = 5 // minimum length of the result of ReadCommand
)

// nullBulk is the null bulk string, the reply for an absent key.
const nullBulk = "$-1"

var (
	errEmptyLine      = errors.New("empty RESP2 line")
	errConnectionEnds = errors.New("connection is closed after the response")
)

// ReadElement reads one RESP2 element. It returns its first line without the line end and, for a bulk string, its content.
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
		return "", "", fmt.Errorf("invalid bulk string length %q", head)
	}
	content := make([]byte, length+len("\r\n"))
	if _, err = io.ReadFull(r, content); err != nil {
		return "", "", err
	}
	return head, string(content[:length]), nil
}

// encodeCommand encodes a command as an array of bulk strings.
func encodeCommand(words ...string) []byte {
	b := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, w := range words {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b
}

// ReadCommand reads the words of a command. The result has at least five elements; words that the command lacks are empty.
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

// value returns a value of a node for a request. It begins with the node and the request ID, and is padded with dots to
// size.
func value(maker, id string, size int) string {
	v := maker + ":" + id
	return v + strings.Repeat(".", max(size-len(v), 0))
}

// parseValue returns the node and the request ID from a value.
func parseValue(v string) (maker, id string) {
	maker, id, _ = strings.Cut(strings.TrimRight(v, "."), ":")
	return maker, id
}

// idempotencyKeyOf returns the idempotency key in the facts of a request, or "" if there is none.
func idempotencyKeyOf(facts string) string {
	for fact := range strings.SplitSeq(facts, ",") {
		if key, ok := strings.CutPrefix(fact, "k="); ok {
			return key
		}
	}
	return ""
}

// timeoutOf returns the timeout in the facts of an attempt in milliseconds, or 0 if there is none.
func timeoutOf(facts string) float64 {
	for fact := range strings.SplitSeq(facts, ",") {
		if text, ok := strings.CutPrefix(fact, "d="); ok {
			timeout, _ := strconv.ParseFloat(text, 64) // 0 if it is not a number
			return timeout
		}
	}
	return 0
}
