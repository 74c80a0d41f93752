package hotrestart

import (
	"io"
	"strings"
	"testing"
	"time"

	"woodproxy/internal/goldentest"

	"go.uber.org/zap"
)

// expectHash waits for the next received hash and checks it.
func expectHash(t *testing.T, received <-chan uint64, want uint64) {
	t.Helper()
	select {
	case got := <-received:
		if got != want {
			t.Errorf("received hash %x, want %x", got, want)
		}
	case <-time.After(countTimeout):
		t.Errorf("received no hash, want %x", want)
	}
}

// Two processes tell each other the hashes of executed ids, before and after the successor serves, and a successor is told
// those of before.
func TestExecutedHashesAreExchanged(t *testing.T) {
	dir := t.TempDir()
	atPredecessor, atSuccessor := make(chan uint64, 16), make(chan uint64, 16)
	counts := make(chan successorCounts, 16)
	server := NewServer(dir, testListen, tcpListener(t), goldenList,
		func(holding, serving int) { counts <- successorCounts{holding, serving} },
		ExecutedExchange{
			Received: func(hash uint64) { atPredecessor <- hash },
			Recent:   func(send func(hash uint64)) { send(1) },
		}, zap.NewNop())
	if err := server.Open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	predecessor := takeOver(t, dir)
	exited := make(chan struct{})
	go func() {
		predecessor.WaitForExit(func(hash uint64) { atSuccessor <- hash })
		close(exited)
	}()
	expectCounts(t, counts, successorCounts{holding: 1})
	expectHash(t, atSuccessor, 1)
	predecessor.SendExecuted(2)
	expectHash(t, atPredecessor, 2)
	time.Sleep(executedWriteTimeout + 100*time.Millisecond) // the deadline of that write must not affect the next one
	if err := predecessor.NotifyServing(); err != nil {
		t.Fatal(err)
	}
	expectCounts(t, counts, successorCounts{holding: 1, serving: 1})
	predecessor.SendExecuted(1<<64 - 1)
	expectHash(t, atPredecessor, 1<<64-1)
	server.SendExecuted(3)
	expectHash(t, atSuccessor, 3)
	expectStillWaiting(t, exited)
	predecessor.Disconnect()
	expectCounts(t, counts, successorCounts{})
	<-exited
	server.SendExecuted(4) // there is no successor any more
}

// withoutExecuted returns a message as versions send it that do not read executed messages.
func withoutExecuted(t *testing.T, line string) string {
	t.Helper()
	return replaceOnce(t, line, `,"executed":true`, "")
}

// A process of a version that does not read executed messages is sent none: it would take them for the end of the other
// process.
func TestOlderVersionsAreSentNoHashes(t *testing.T) {
	t.Run("successor", func(t *testing.T) {
		dir := t.TempDir()
		server, counts := openServer(t, dir, testListen, tcpListener(t), []byte(nullList))
		conn := dialRaw(t, dir)
		send(t, conn, withoutExecuted(t, goldentest.Read(t, "hello.golden")))
		receiveRawOffer(t, conn)
		send(t, conn, goldentest.Read(t, "serving.golden"))
		expectCounts(t, counts, successorCounts{holding: 1})
		expectCounts(t, counts, successorCounts{holding: 1, serving: 1})
		server.SendExecuted(1)
		time.Sleep(quietPeriod)
		closeWrite(t, conn)
		if rest, err := io.ReadAll(conn); err != nil || len(rest) > 0 {
			t.Errorf("%q follows the offer: %v", rest, err)
		}
	})
	t.Run("predecessor", func(t *testing.T) {
		dir := t.TempDir()
		seen := serveRaw(listenRaw(t, dir), withoutExecuted(t, goldentest.Read(t, "offer_null_list.golden")), tcpListener(t))
		predecessor := takeOver(t, dir)
		predecessor.SendExecuted(1)
		if err := predecessor.NotifyServing(); err != nil {
			t.Error(err)
		}
		time.Sleep(quietPeriod)
		predecessor.Disconnect()
		if raw := <-seen; raw.err != nil || raw.rest != goldentest.Read(t, "serving.golden") {
			t.Errorf("successor sent %q, error %v, want the serving message alone", raw.rest, raw.err)
		}
	})
}

// A malformed executed message counts as the end of the other process, like any other unknown message.
func TestMalformedMessagesEndTheExchange(t *testing.T) {
	for _, text := range []string{
		"executed\n", "executed 1g\n", "executed -1\n", "executed 00000000000000001\n", "other\n", strings.Repeat("x", 2*maxMessageBytes) + "\n",
	} {
		reader := newMessageReader(strings.NewReader("executed 00000000000000ff\n"+text), func(hash uint64) {
			if hash != 0xff {
				t.Errorf("%q: got hash %x", text, hash)
			}
		})
		if message, err := reader.next(); err == nil && message+"\n" != text {
			t.Errorf("%q: got message %q", text, message)
		}
	}
}
