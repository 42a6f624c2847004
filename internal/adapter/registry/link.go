package registry

import (
	"context"
	"errors"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
)

// queueLength is how many messages may wait to be written to one link. A link
// that falls further behind is closed.
const queueLength = 256

var errBehind = errors.New("the other side does not read; the link is closed")

// Link is an ordered channel of messages to another process. One goroutine may
// send while another receives.
type Link interface {
	Send(message proto.Message) error
	Receive(message proto.Message) error
	Close() error
}

// Open opens a link to a replica.
type Open func(ctx context.Context, address peer.Address) (Link, error)

// OpenPeer opens links over the connections between processes.
func OpenPeer(transport *peer.Transport) Open {
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

// Send writes one message.
func (link *peerLink) Send(message proto.Message) error {
	return link.stream.Send(0, message)
}

// Receive reads one message.
func (link *peerLink) Receive(message proto.Message) error {
	_, err := link.stream.ReceiveMessage(message)
	return err
}

// Close closes the stream.
func (link *peerLink) Close() error {
	return link.stream.Close()
}

// writer sends queued messages to a link from a goroutine of its own, so that
// a slow link never holds up control state.
type writer struct {
	link  Link
	lock  sync.Mutex
	queue chan proto.Message
	ended bool
}

func newWriter(link Link) *writer {
	started := &writer{link: link, queue: make(chan proto.Message, queueLength)}
	go started.run()
	return started
}

func (w *writer) run() {
	defer func() { _ = w.link.Close() }()
	for message := range w.queue {
		if w.link.Send(message) != nil {
			return
		}
	}
}

// send queues a message.
func (w *writer) send(message proto.Message) error {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.ended {
		return errBehind
	}
	select {
	case w.queue <- message:
		return nil
	default:
		w.ended = true
		close(w.queue)
		_ = w.link.Close()
		return errBehind
	}
}

// finish closes the link after what is queued was written.
func (w *writer) finish() {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.ended {
		return
	}
	w.ended = true
	close(w.queue)
}
