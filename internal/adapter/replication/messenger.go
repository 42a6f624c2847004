// Package replication carries the messages of the quorum log between replicas,
// over the peer protocol.
//
// Each address has one queue and one stream. A message that finds the queue
// full, or whose stream breaks, is lost; the log sends it again.
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
	queueLength    = 64
	receivedLength = 1024
	sendTimeout    = 2 * time.Second
	dialPause      = 100 * time.Millisecond
)

// Messenger is a port.Messenger over a peer transport.
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
		messenger.received = make(chan *quorumpb.Message, receivedLength)
	})
}

// Run sends until the context ends. What is sent before Run is lost.
func (messenger *Messenger) Run(ctx context.Context) error {
	messenger.init()
	messenger.lock.Lock()
	messenger.ctx = ctx
	messenger.lock.Unlock()
	<-ctx.Done()
	messenger.senders.Wait()
	return nil
}

// Send queues a message for an address, or loses it.
func (messenger *Messenger) Send(address string, message *quorumpb.Message) {
	messenger.init()
	select {
	case messenger.queue(address) <- message:
	default:
	}
}

// Received gives the messages that arrive.
func (messenger *Messenger) Received() <-chan *quorumpb.Message {
	messenger.init()
	return messenger.received
}

// queue gives the queue of an address; nil, which takes nothing, before Run
// and after its end.
func (messenger *Messenger) queue(address string) chan *quorumpb.Message {
	messenger.lock.Lock()
	defer messenger.lock.Unlock()
	if messenger.ctx == nil || messenger.ctx.Err() != nil {
		return nil
	}
	queue, ok := messenger.queues[address]
	if !ok {
		queue = make(chan *quorumpb.Message, queueLength)
		messenger.queues[address] = queue
		messenger.senders.Add(1)
		go messenger.send(messenger.ctx, peer.Address(address), queue)
	}
	return queue
}

// send writes the queue of one address to a stream, which it opens anew after
// each failure.
func (messenger *Messenger) send(ctx context.Context, address peer.Address, queue <-chan *quorumpb.Message) {
	defer messenger.senders.Done()
	for ctx.Err() == nil {
		stream, err := messenger.Transport.Open(ctx, address, peer.KindQuorum)
		if err != nil {
			discard(ctx, queue)
			continue
		}
		for err == nil {
			err = writeBatch(ctx, stream, queue)
		}
		_ = stream.Close()
	}
}

// discard drops what is queued for an address that cannot be reached, for a
// short time.
func discard(ctx context.Context, queue <-chan *quorumpb.Message) {
	pause := time.NewTimer(dialPause)
	defer pause.Stop()
	for {
		select {
		case <-queue:
		case <-pause.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// writeBatch waits for a message and writes it with all that are queued.
func writeBatch(ctx context.Context, stream *peer.Stream, queue <-chan *quorumpb.Message) error {
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

// Serve takes in the messages of one stream.
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
