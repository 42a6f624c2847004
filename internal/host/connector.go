package host

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/core/choice"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	connectInterval = 500 * time.Millisecond
	connectTimeout  = 2 * time.Second
)

// connector keeps connections to the targets that calls may go to, and tells
// the chooser which stand.
type connector struct {
	transport *peer.Transport
	chooser   *choice.Chooser

	lock    sync.Mutex
	pending map[peer.Address]bool
}

// connectAll looks after the targets of the services once.
func (co *connector) connectAll(ctx context.Context, services []request.ServiceName) {
	for _, service := range services {
		for _, target := range co.chooser.Wanted(service) {
			co.connect(ctx, service, target)
		}
	}
}

// connect looks after one target, unless an earlier look still waits.
func (co *connector) connect(ctx context.Context, service request.ServiceName, target choice.Target) {
	address := peer.Address(target.Address)
	if !co.begin(address) {
		return
	}
	go func() {
		defer co.end(address)
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		if err := co.transport.Connect(ctx, address); err != nil {
			co.chooser.Lost(time.Now(), service, target.Node)
			return
		}
		co.chooser.Connected(time.Now(), service, target.Node)
	}()
}

func (co *connector) begin(address peer.Address) bool {
	co.lock.Lock()
	defer co.lock.Unlock()
	if co.pending[address] {
		return false
	}
	if co.pending == nil {
		co.pending = make(map[peer.Address]bool)
	}
	co.pending[address] = true
	return true
}

func (co *connector) end(address peer.Address) {
	co.lock.Lock()
	defer co.lock.Unlock()
	delete(co.pending, address)
}
