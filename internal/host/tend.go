package host

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/core/membership"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	tendInterval   = 200 * time.Millisecond
	probeTimeout   = 100 * time.Millisecond
	connectTimeout = 2 * time.Second
	dialsAtOnce    = 8
)

// tend passes on what the guard has to report, looks for a target that was
// down, and keeps connections.
func (st *site) tend(ctx context.Context, now time.Time) {
	if reports := st.guard.TakeReports(); len(reports) > 0 {
		_ = st.client.Report(ctx, reports...)
	}
	st.guard.Expire(now)
	if slack := st.host.Settings.RetryBudget.Slack; slack > 0 {
		st.node.SetRetryBurst(nodeBurst(slack, st.chooser.TargetCount()))
	}
	if heard := st.node.NewestPeerVersion(); heard > st.host.holder.Current().Version {
		_ = st.client.Heard(ctx, heard)
	}
	if st.down.Load() && answers(string(st.host.Settings.Target)) {
		st.down.Store(false)
		_ = st.client.Change(ctx, membership.Cold)
	}
	st.connections.services = st.connected()
	st.connections.tend(ctx, now)
}

// connected lists the services to whose targets connections are kept: those
// that the target calls and those that callers asked for.
func (st *site) connected() []request.ServiceName {
	own := st.host.holder.Current().Document.Services[st.host.Settings.Service]
	names := st.node.CalledServices()
	for _, name := range own.Calls {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

func answers(address string) bool {
	conn, err := net.DialTimeout("tcp", address, probeTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// connections keeps the connections that the chooser wants, so that no call
// waits for one.
type connections struct {
	chooser   *balancer.Balancer
	transport *peer.Transport
	services  []request.ServiceName

	lock    sync.Mutex
	dialing map[request.NodeID]bool
}

func (co *connections) tend(ctx context.Context, now time.Time) {
	for _, service := range co.services {
		for _, target := range co.chooser.ConnectionTargets(service) {
			if co.transport.Connected(peer.Address(target.Address)) {
				co.chooser.Connected(now, service, target.Node)
				continue
			}
			if co.begin(target.Node) {
				go co.dial(ctx, service, target)
			}
		}
	}
}

// begin says whether the node is to be dialled now.
func (co *connections) begin(node request.NodeID) bool {
	co.lock.Lock()
	defer co.lock.Unlock()
	if co.dialing == nil {
		co.dialing = map[request.NodeID]bool{}
	}
	if co.dialing[node] || len(co.dialing) >= dialsAtOnce {
		return false
	}
	co.dialing[node] = true
	return true
}

func (co *connections) dial(ctx context.Context, service request.ServiceName, target balancer.Target) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if err := co.transport.Connect(ctx, peer.Address(target.Address)); err != nil {
		co.chooser.Disconnected(time.Now(), service, target.Node)
	} else {
		co.chooser.Connected(time.Now(), service, target.Node)
	}
	co.lock.Lock()
	defer co.lock.Unlock()
	delete(co.dialing, target.Node)
}
