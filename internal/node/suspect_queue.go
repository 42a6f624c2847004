package node

import (
	"sync"

	"github.com/magnoliawall/magnoliawall/internal/core/quarantine"
)

// suspectQueue holds the suspects that wait for their turn at the target.
type suspectQueue struct {
	lock     sync.Mutex
	channels map[quarantine.Ticket]chan struct{}
}

func (queue *suspectQueue) add(ticket quarantine.Ticket) <-chan struct{} {
	queue.lock.Lock()
	defer queue.lock.Unlock()
	if queue.channels == nil {
		queue.channels = make(map[quarantine.Ticket]chan struct{})
	}
	channel := make(chan struct{})
	queue.channels[ticket] = channel
	return channel
}

func (queue *suspectQueue) remove(ticket quarantine.Ticket) {
	queue.lock.Lock()
	defer queue.lock.Unlock()
	delete(queue.channels, ticket)
}

func (queue *suspectQueue) wake(tickets []quarantine.Ticket) {
	queue.lock.Lock()
	defer queue.lock.Unlock()
	for _, ticket := range tickets {
		if channel, ok := queue.channels[ticket]; ok {
			delete(queue.channels, ticket)
			close(channel)
		}
	}
}
