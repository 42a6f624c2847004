package node

import (
	"sync"

	"github.com/magnoliawall/magnoliawall/internal/core/quarantine"
)

// waiters are the suspects that wait for their turn at the target.
type waiters struct {
	lock     sync.Mutex
	channels map[quarantine.Ticket]chan struct{}
}

func (wa *waiters) expect(ticket quarantine.Ticket) <-chan struct{} {
	wa.lock.Lock()
	defer wa.lock.Unlock()
	if wa.channels == nil {
		wa.channels = make(map[quarantine.Ticket]chan struct{})
	}
	channel := make(chan struct{})
	wa.channels[ticket] = channel
	return channel
}

func (wa *waiters) forget(ticket quarantine.Ticket) {
	wa.lock.Lock()
	defer wa.lock.Unlock()
	delete(wa.channels, ticket)
}

func (wa *waiters) wake(tickets []quarantine.Ticket) {
	wa.lock.Lock()
	defer wa.lock.Unlock()
	for _, ticket := range tickets {
		if channel, ok := wa.channels[ticket]; ok {
			delete(wa.channels, ticket)
			close(channel)
		}
	}
}
