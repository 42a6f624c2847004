// Package replication carries the messages of the replicated log between replicas,
// over the peer protocol.
//
// Each address has one queue, one stream and one goroutine that sends. A message
// is dropped if the queue is full or the stream fails; the log sends it again. A
// [Messenger] is safe for concurrent use.
//
// # Usage
//
//	messenger := &replication.Messenger{Transport: transport}
//	transport.Handlers[peer.KindQuorum] = messenger.Serve
//	go messenger.Run(ctx)
//	control := &replica.Replica[*ledger.Machine]{Messenger: messenger, ...}
package replication

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"
)

const (
	maxQueuedMessages   = 64
	maxReceivedMessages = 1024
	sendTimeout         = 2 * time.Second
	redialDelay         = 100 * time.Millisecond
)

// Messenger is a port.Messenger over a peer transport. Transport is set before the
// first use.
type Messenger struct {
	Transport *peer.Transport

	once     sync.Once
	lock     sync.Mutex
	ctx      context.Context
	queues   map[string]chan *quorumpb.Message
	received chan *quorumpb.Message
	senders  sync.WaitGroup
}

func (messenger *Messenger) init() {
	messenger.once.Do(func() {
		messenger.queues = make(map[string]chan *quorumpb.Message)
		messenger.received = make(chan *quorumpb.Message, maxReceivedMessages)
	})
}

// Run sends messages until the context ends. Messages sent before Run are dropped.
func (messenger *Messenger) Run(ctx context.Context) error {
	messenger.init()
	messenger.lock.Lock()
	messenger.ctx = ctx
	messenger.lock.Unlock()
	<-ctx.Done()
	messenger.senders.Wait()
	return nil
}

// Send queues a message for an address, or drops it if the queue is full. It does
// not block.
func (messenger *Messenger) Send(address string, message *quorumpb.Message) {
	messenger.init()
	select {
	case messenger.queue(address) <- message:
	default:
	}
}

// Received returns the channel of the messages that arrive.
func (messenger *Messenger) Received() <-chan *quorumpb.Message {
	messenger.init()
	return messenger.received
}

// queue returns the queue of an address. Before Run and after its end it returns
// nil, a channel on which Send drops every message.
func (messenger *Messenger) queue(address string) chan *quorumpb.Message {
	messenger.lock.Lock()
	defer messenger.lock.Unlock()
	if messenger.ctx == nil || messenger.ctx.Err() != nil {
		return nil
	}
	queue, ok := messenger.queues[address]
	if !ok {
		queue = make(chan *quorumpb.Message, maxQueuedMessages)
		messenger.queues[address] = queue
		messenger.senders.Add(1)
		go messenger.runSender(messenger.ctx, peer.Address(address), queue)
	}
	return queue
}

// runSender sends the queue of one address over a stream, and opens a new stream
// after each failure.
func (messenger *Messenger) runSender(ctx context.Context, address peer.Address, queue <-chan *quorumpb.Message) {
	defer messenger.senders.Done()
	for ctx.Err() == nil {
		stream, err := messenger.Transport.Open(ctx, address, peer.KindQuorum)
		if err != nil {
			discardQueued(ctx, queue)
			continue
		}
		for err == nil {
			err = sendQueued(ctx, stream, queue)
		}
		_ = stream.Close()
	}
}

// discardQueued drops the messages to an unreachable address until it is time to
// dial again.
func discardQueued(ctx context.Context, queue <-chan *quorumpb.Message) {
	timer := time.NewTimer(redialDelay)
	defer timer.Stop()
	for {
		select {
		case <-queue:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// sendQueued waits for a message and sends it together with all queued ones.
func sendQueued(ctx context.Context, stream *peer.Stream, queue <-chan *quorumpb.Message) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case message := <-queue:
		if err := stream.AddMessage(peer.FrameMessage, 0, message); err != nil {
			return err
		}
	}
	for range len(queue) {
		if err := stream.AddMessage(peer.FrameMessage, 0, <-queue); err != nil {
			return err
		}
	}
	if err := stream.SetDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	return stream.Flush()
}

// Serve receives the messages of one stream; it is the [peer.Handler] of
// [peer.KindQuorum].
func (messenger *Messenger) Serve(ctx context.Context, stream *peer.Stream) {
	messenger.init()
	for {
		message := &quorumpb.Message{}
		if _, err := stream.ReceiveMessage(message); err != nil {
			return
		}
		select {
		case messenger.received <- message:
		case <-ctx.Done():
			return
		}
	}
}
