package registry

import (
	"context"
	"errors"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
)

// maxQueuedMessages bounds the messages that wait to be written to one link. A
// link whose queue overflows is closed.
const maxQueuedMessages = 256

var errQueueClosed = errors.New("send queue is full or closed; the link is closed")

// Link is an ordered message stream to another process. One goroutine may send
// while another receives.
type Link interface {
	Send(message proto.Message) error
	Receive(message proto.Message) error
	Close() error
}

// OpenFunc opens a link to a replica.
type OpenFunc func(ctx context.Context, address peer.Address) (Link, error)

// OpenPeer returns a function that opens links over the peer protocol.
func OpenPeer(transport *peer.Transport) OpenFunc {
	return func(ctx context.Context, address peer.Address) (Link, error) {
		stream, err := transport.Open(ctx, address, peer.KindRegistry)
		if err != nil {
			return nil, err
		}
		return &peerLink{stream: stream}, nil
	}
}

type peerLink struct {
	stream *peer.Stream
}

// Send writes message.
func (link *peerLink) Send(message proto.Message) error {
	return link.stream.Send(0, message)
}

// Receive reads the next message into message.
func (link *peerLink) Receive(message proto.Message) error {
	_, err := link.stream.ReceiveMessage(message)
	return err
}

// Close closes the underlying stream.
func (link *peerLink) Close() error {
	return link.stream.Close()
}

// writer sends queued messages to a link from its own goroutine, so that a slow
// link never blocks the event loop.
type writer struct {
	link   Link
	lock   sync.Mutex
	queue  chan proto.Message
	closed bool
}

func newWriter(link Link) *writer {
	started := &writer{link: link, queue: make(chan proto.Message, maxQueuedMessages)}
	go started.run()
	return started
}

func (writer *writer) run() {
	defer func() { _ = writer.link.Close() }()
	for message := range writer.queue {
		if writer.link.Send(message) != nil {
			return
		}
	}
}

// send queues a message without blocking. If the queue is full it closes the link.
func (writer *writer) send(message proto.Message) error {
	writer.lock.Lock()
	defer writer.lock.Unlock()
	if writer.closed {
		return errQueueClosed
	}
	select {
	case writer.queue <- message:
		return nil
	default:
		writer.closed = true
		close(writer.queue)
		_ = writer.link.Close()
		return errQueueClosed
	}
}

// finish closes the link once the queued messages have been written.
func (writer *writer) finish() {
	writer.lock.Lock()
	defer writer.lock.Unlock()
	if writer.closed {
		return
	}
	writer.closed = true
	close(writer.queue)
}
