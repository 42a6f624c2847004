package host

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/magnoliawall/magnoliawall/internal/adapter/control"
	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/quota"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	// maxTokenSearch bounds the wait for all replicas together.
	maxTokenSearch = 400 * time.Millisecond
	// tokenLifetime is the age above which a token is not used. A process that was paused
	// may find an answer from long ago.
	tokenLifetime = time.Second
)

// quotaTolerance is the tolerance of the settings.
func (host *Host) quotaTolerance() quota.Tolerance {
	return quota.Tolerance{Overshoot: host.Settings.Quota.Overshoot, Slack: host.Settings.Quota.Slack}
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// quotaClient takes tokens from the replicas for the node of this host.
type quotaClient struct {
	client   *control.Client
	replicas *peer.Directory
	// nodeCount returns the number of nodes that share out a quota without a replica.
	nodeCount func() int
	logger    *log.Logger

	lock  sync.Mutex
	asker quota.Asker[peer.Address]
}

// Take implements [node.QuotaSource].
func (client *quotaClient) Take(ctx context.Context, customer request.CustomerName, limit quota.Limit) quota.Grant {
	replicas := client.replicas.Replicas()
	searching, cancel := context.WithTimeout(ctx, maxTokenSearch)
	defer cancel()
	for tried := 0; ; tried++ {
		position, ok := client.next(customer, replicas, tried)
		if !ok || searching.Err() != nil {
			return client.takeWithoutReplica(customer, limit, replicas)
		}
		if grant := client.ask(searching, customer, replicas[position]); grant.Result == quota.Granted {
			return grant
		}
		tried = position
	}
}

func (plane *dataPlane) newQuotaClient() *quotaClient {
	return &quotaClient{
		client:    &control.Client{Transport: plane.host.transport, Replicas: plane.host.replicaDirectory},
		replicas:  plane.host.replicaDirectory,
		nodeCount: plane.balancer.TotalTargetCount,
		logger:    plane.host.Logger,
		asker:     quota.Asker[peer.Address]{Random: newRandom(), Tolerance: plane.host.quotaTolerance()},
	}
}

func (client *quotaClient) next(customer request.CustomerName, replicas []peer.Address, tried int) (int, bool) {
	client.lock.Lock()
	defer client.lock.Unlock()
	return client.asker.Next(time.Now(), customer, replicas, tried)
}

func (client *quotaClient) timeout(replica peer.Address) time.Duration {
	client.lock.Lock()
	defer client.lock.Unlock()
	return client.asker.Timeout(replica)
}

// ask asks one replica. A token that comes late is given up: the replica counts it, and the
// time at which it was granted is over.
func (client *quotaClient) ask(ctx context.Context, customer request.CustomerName, replica peer.Address) quota.Grant {
	began := time.Now()
	asking, cancel := context.WithTimeout(ctx, client.timeout(replica))
	defer cancel()
	grant, err := client.client.TakeToken(asking, replica, customer)
	now := time.Now()
	client.lock.Lock()
	defer client.lock.Unlock()
	switch {
	case err != nil && ctx.Err() != nil:
		// The caller left or the search took too long, which says nothing of this replica.
		return quota.Grant{Result: quota.Unavailable}
	case err != nil:
		if client.asker.NotAnswered(now, replica) {
			client.logger.Warn().Err(err).Str("replica", string(replica)).Msg("quota: the replica did not answer and is left out for a while")
		}
		return quota.Grant{Result: quota.Unavailable}
	case isOlderThan(began, now, tokenLifetime):
		client.logger.Warn().Str("replica", string(replica)).Msg("quota: the answer is too old and is not used; this process was paused")
		return quota.Grant{Result: quota.Unavailable}
	}
	client.asker.Answered(now, customer, replica, grant, now.Sub(began))
	return grant
}

// isOlderThan compares the readings of both clocks: the monotonic one may stand still
// while a host is suspended.
func isOlderThan(began, now time.Time, age time.Duration) bool {
	return now.Sub(began) > age || now.Round(0).Sub(began.Round(0)).Abs() > age
}

// takeWithoutReplica ends a search in which no replica granted a token.
func (client *quotaClient) takeWithoutReplica(customer request.CustomerName, limit quota.Limit, replicas []peer.Address) quota.Grant {
	client.lock.Lock()
	defer client.lock.Unlock()
	now := time.Now()
	if wait, exhausted := client.asker.Exhausted(now, customer, replicas); exhausted {
		return quota.Grant{Result: quota.Empty, Wait: wait}
	}
	return client.asker.TakeOwnPart(now, customer, limit, client.nodeCount())
}

// quotaServer grants the tokens of this host's replica.
type quotaServer struct {
	// standing returns what the replica knows of its place in the group.
	standing func() quota.Standing

	lock    sync.Mutex
	granter quota.Granter
	limits  map[request.CustomerName]quota.Limit
	share   float64
}

// Take implements [control.Quotas].
func (server *quotaServer) Take(customer request.CustomerName) quota.Grant {
	if !server.standing().MayGrant() {
		return quota.Grant{Result: quota.Unavailable}
	}
	server.lock.Lock()
	defer server.lock.Unlock()
	return server.granter.Take(time.Now(), customer)
}

// setLimits takes over the quotas of a configuration.
func (server *quotaServer) setLimits(document *configuration.Document) {
	limits := make(map[request.CustomerName]quota.Limit, len(document.Customers))
	for name, customer := range document.Customers {
		limits[name] = quota.Limit{Rate: customer.Rate, Burst: customer.Burst}
	}
	server.lock.Lock()
	defer server.lock.Unlock()
	server.limits = limits
	server.granter.SetLimits(time.Now(), limits, server.share)
}

// setShare sets the replica's part of each quota, which is zero while it is no member.
func (server *quotaServer) setShare(share float64) {
	server.lock.Lock()
	defer server.lock.Unlock()
	if share == server.share {
		return
	}
	server.share = share
	server.granter.SetLimits(time.Now(), server.limits, share)
}
