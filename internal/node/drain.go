package node

import (
	"context"
	"net/http"
	"time"

	"github.com/oklog/run"

	"github.com/magnoliawall/magnoliawall/internal/core/drain"
)

const (
	drainPollInterval = 20 * time.Millisecond
	recordTimeout     = 10 * time.Second
	// stopMargin is the part of the grace time left for what ends after the node: its
	// lease, and connections that are still open.
	stopMargin = 700 * time.Millisecond
)

// draining reports whether the node has stopped taking new work.
func (node *Node) draining() bool {
	state, _ := node.Drain.State()
	return state != drain.Running
}

// closeWhileDraining ends the connection of each call that is answered during a drain,
// so that its caller does not send the next call while the connection is closed.
func (node *Node) closeWhileDraining(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		if node.draining() {
			writer.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(writer, incoming)
	})
}

// addDrain starts the drain when the context ends. The drain is over when no request
// is in flight and all claims are recorded, or when the time for that is up.
func (node *Node) addDrain(ctx context.Context, group *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	interrupted := make(chan struct{})
	group.Add(func() error {
		<-ctx.Done()
		began := time.Now()
		if node.Grace > 0 {
			stop := node.planStop(began)
			node.plannedStop.Store(stop)
			node.endCallsAt(stop.end)
		}
		node.Drain.Begin(began)
		node.announceDrain()
		node.linger(interrupted)
		node.awaitIdle(interrupted)
		node.awaitRecords(interrupted)
		return nil
	}, func(error) {
		close(interrupted)
		cancel()
	})
}

// linger keeps serving for a time, since callers may not know yet that this node is
// leaving.
func (node *Node) linger(interrupted <-chan struct{}) {
	select {
	case <-time.After(node.Linger):
	case <-interrupted:
	}
}

func (node *Node) awaitIdle(interrupted <-chan struct{}) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !node.Drain.Done(time.Now()) && !node.stopDue() {
		select {
		case <-ticker.C:
		case <-interrupted:
			return
		}
	}
}

// stopDue reports whether the grace time is used up except for stopMargin.
func (node *Node) stopDue() bool {
	stop := node.plannedStop.Load()
	return stop != nil && !time.Now().Before(stop.end)
}

// acceptMargin is the part of stopMargin in which connections are still accepted.
const acceptMargin = 150 * time.Millisecond

// latestAccept is the time after which a stopping node accepts no connection, so that the
// process ends within the grace time however many callers still connect. It is zero without
// a grace time.
func (node *Node) latestAccept() time.Time {
	stop := node.plannedStop.Load()
	if stop == nil {
		return time.Time{}
	}
	return stop.end.Add(acceptMargin)
}

// awaitRecords waits until all running actions that may run only once have ended, and
// then, but not longer than recordTimeout, until their outcomes are recorded. Nothing is
// waited for beyond the grace time.
func (node *Node) awaitRecords(interrupted <-chan struct{}) {
	if node.claimDriver == nil {
		return
	}
	node.awaitClaimedRuns(interrupted)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	timeout := time.After(recordTimeout)
	for node.claimDriver.pendingAttempts.Load() > 0 && !node.stopDue() {
		select {
		case <-ticker.C:
		case <-timeout:
			return
		case <-interrupted:
			return
		}
	}
}

// awaitClaimedRuns waits until all running actions that may run only once have ended, or
// the grace time is used up: a target may never answer.
func (node *Node) awaitClaimedRuns(interrupted <-chan struct{}) {
	ended := make(chan struct{})
	go func() {
		node.claimedRuns.Wait()
		close(ended)
	}()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !node.stopDue() {
		select {
		case <-ended:
			return
		case <-ticker.C:
		case <-interrupted:
			return
		}
	}
}

// announceDrain tells the registry that the target is leaving.
func (node *Node) announceDrain() {
	if node.OnDrain != nil {
		node.OnDrain()
	}
}
