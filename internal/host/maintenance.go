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
	maintenanceInterval = 200 * time.Millisecond
	probeTimeout        = 100 * time.Millisecond
	connectTimeout      = 2 * time.Second
	maxConcurrentDials  = 8
)

// runMaintenance sends the guard's reports, adapts the retry budget to the number
// of known nodes, tells the registry of a newer version that peers mentioned,
// announces a target that came back, and refreshes the connections to targets.
func (plane *dataPlane) runMaintenance(ctx context.Context, now time.Time) {
	if reports := plane.guard.TakeReports(); len(reports) > 0 {
		_ = plane.registryClient.Report(ctx, reports...)
	}
	plane.guard.Expire(now)
	if slack := plane.host.Settings.RetryBudget.Slack; slack > 0 {
		plane.node.SetRetryBurst(nodeBurst(slack, plane.balancer.TotalTargetCount()))
	}
	if heard := plane.node.NewestPeerVersion(); heard > plane.host.configuration.Current().Version {
		_ = plane.registryClient.ObserveVersion(ctx, heard)
	}
	if plane.targetDown.Load() && acceptsConnections(string(plane.host.Settings.Target)) {
		plane.targetDown.Store(false)
		_ = plane.registryClient.SetState(ctx, membership.Cold)
	}
	plane.announcedTarget.recheck()
	plane.connections.services = plane.connectedServices()
	plane.connections.refresh(ctx, now)
}

// connectedServices lists the services to whose targets connections are kept
// open: those that the target calls by its configuration, and those called by
// callers.
func (plane *dataPlane) connectedServices() []request.ServiceName {
	own := plane.host.configuration.Current().Document.Services[plane.host.Settings.Service]
	names := plane.node.CalledServices()
	for _, name := range own.Calls {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

func acceptsConnections(address string) bool {
	conn, err := net.DialTimeout("tcp", address, probeTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// connectionPool keeps connections to the targets that the balancer wants, so that
// no call waits for a connection.
type connectionPool struct {
	balancer  *balancer.Balancer
	transport *peer.Transport
	services  []request.ServiceName

	lock    sync.Mutex
	dialing map[request.NodeID]bool
}

func (pool *connectionPool) refresh(ctx context.Context, now time.Time) {
	for _, service := range pool.services {
		for _, target := range pool.balancer.ConnectionTargets(service) {
			if pool.transport.Connected(peer.Address(target.Address)) {
				pool.balancer.Connected(now, service, target.Node)
				continue
			}
			if pool.startDialing(target.Node) {
				go pool.dial(ctx, service, target)
			}
		}
	}
}

// startDialing marks a node as being dialed. It returns false if the node is
// already being dialed, or too many others are.
func (pool *connectionPool) startDialing(node request.NodeID) bool {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	if pool.dialing == nil {
		pool.dialing = map[request.NodeID]bool{}
	}
	if pool.dialing[node] || len(pool.dialing) >= maxConcurrentDials {
		return false
	}
	pool.dialing[node] = true
	return true
}

func (pool *connectionPool) dial(ctx context.Context, service request.ServiceName, target balancer.Target) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if err := pool.transport.Connect(ctx, peer.Address(target.Address)); err != nil {
		pool.balancer.Disconnected(time.Now(), service, target.Node)
	} else {
		pool.balancer.Connected(time.Now(), service, target.Node)
	}
	pool.lock.Lock()
	defer pool.lock.Unlock()
	delete(pool.dialing, target.Node)
}
