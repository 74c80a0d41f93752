package gossip

import (
	"context"
	"sync/atomic"

	"github.com/hashicorp/memberlist"
)

const (
	senderWorkers       = 4
	senderQueueCapacity = 64 // messages

	// maxPacketMessage is the length in bytes from which a message goes on a stream: packets must fit into an Ethernet
	// frame.
	maxPacketMessage = 1200
)

// delivery tells how a message to one proxy is sent.
type delivery int

const (
	bestEffort delivery = iota // as a packet, if it fits into one
	reliable                   // on a TCP stream
)

// sender sends messages to single proxies: packets at once, streams by workers, as they may wait for the peer.
type sender struct {
	members *memberlist.Memberlist
	dropped *atomic.Int64 // counts messages that could not be sent
	queue   chan streamMessage
}

// streamMessage is an encoded message that waits for a worker.
type streamMessage struct {
	to      *memberlist.Node
	encoded []byte
}

func newSender(members *memberlist.Memberlist, dropped *atomic.Int64) *sender {
	return &sender{members: members, dropped: dropped, queue: make(chan streamMessage, senderQueueCapacity)}
}

// send sends a message to the latest process of a proxy, or drops it if none is a member or the queue is full. It
// does not wait.
func (s *sender) send(proxy string, m *message, how delivery) {
	node := latestNode(s.members.Members(), proxy)
	if node == nil {
		return
	}
	encoded := m.encode()
	if how == bestEffort && len(encoded) < maxPacketMessage {
		if err := s.members.SendBestEffort(node, encoded); err != nil {
			s.dropped.Add(1)
		}
		return
	}
	select {
	case s.queue <- streamMessage{to: node, encoded: encoded}:
	default:
		s.dropped.Add(1)
	}
}

// run is a worker. It sends messages on streams until the context ends.
func (s *sender) run(ctx context.Context) {
	for {
		select {
		case m := <-s.queue:
			if err := s.members.SendReliable(m.to, m.encoded); err != nil {
				s.dropped.Add(1)
			}
		case <-ctx.Done():
			return
		}
	}
}
