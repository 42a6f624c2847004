package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/wait"
)

const (
	// configApplyTimeout is how long after its acknowledgement a version may still not be in
	// force, the users' config-apply-s.
	configApplyTimeout = 2500 * time.Millisecond
	// calmPeriod is how long no fault was in effect when a process has to keep that bound,
	// the users' connectivity-window-s.
	calmPeriod   = 3 * time.Second
	readInterval = time.Second
)

// calm tells for how long no fault has been in effect.
type calm struct {
	lock    sync.Mutex
	active  int
	endedAt time.Time
}

// begin records that a fault takes effect. The returned function is called at its end.
func (calm *calm) begin() (end func()) {
	calm.lock.Lock()
	defer calm.lock.Unlock()
	calm.active++
	return func() {
		calm.lock.Lock()
		defer calm.lock.Unlock()
		calm.active--
		calm.endedAt = time.Now()
	}
}

// lasts reports whether no fault has been in effect for calmPeriod before a time, nor since.
func (calm *calm) lasts(before time.Time) bool {
	calm.lock.Lock()
	defer calm.lock.Unlock()
	return calm.active == 0 && before.Sub(calm.endedAt) >= calmPeriod
}

// checkInForce records a process whose version in force, as it was told after a time, is older
// than one that was acknowledged configApplyTimeout before. A process without any version
// refuses all calls, which is no break.
func (execution *execution) checkInForce(host string, version int, askedAt time.Time) {
	acknowledged := execution.sender.newestAcknowledged(askedAt.Add(-configApplyTimeout))
	if version > 0 && version < acknowledged && execution.calm.lasts(askedAt) {
		execution.outdated = append(execution.outdated, fmt.Sprintf("in force: %s had version %d, and version %d was acknowledged over %s before", host, version, acknowledged, configApplyTimeout))
	}
}

// watchReads checks that no replica answers a read of the configuration with a version older
// than one that was acknowledged before.
func (execution *execution) watchReads(ctx context.Context) {
	client := &http.Client{Timeout: requestTimeout}
	reading := sync.WaitGroup{}
	for _, replica := range execution.replicas() {
		reading.Go(func() {
			for wait.For(ctx, readInterval) {
				acknowledged := execution.sender.newestAcknowledged(time.Now())
				read, err := post[status](ctx, client, replica.Admin, "view-configuration", struct{}{})
				if err == nil && read.Version < acknowledged {
					execution.recordStaleRead(fmt.Sprintf("read: %s answered with version %d, and version %d was acknowledged before", replica.Node, read.Version, acknowledged))
				}
			}
		})
	}
	reading.Wait()
}

func (execution *execution) recordStaleRead(text string) {
	execution.lock.Lock()
	defer execution.lock.Unlock()
	execution.staleReads = append(execution.staleReads, text)
}
