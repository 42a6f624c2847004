package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// parentLimit is the time limit of the request during whose work the process is stopped.
	parentLimit = 6 * time.Second
	// callAfter is when the instance makes its call, counted from the SIGTERM: later than
	// the three seconds within which a stop may end a long request.
	callAfter = 3100 * time.Millisecond
	// usualWork is the usual work of a call, and longWork that of the one call in question.
	usualWork = "360ms"
	longWork  = "2350ms"
)

// plannedStop is the request that an instance works on while the process beside it stops.
type plannedStop struct {
	world *world
	lock  sync.Mutex
	// began is closed when an instance has begun with the request, on machine on.
	began chan struct{}
	on    *machine
	// stopped is closed at the SIGTERM, or when it would have been sent.
	stopped chan struct{}
	called  answer
	madeAt  time.Duration
	limit   time.Duration
}

// runStop stops the process beside an instance that works on a long request and makes a
// call of its own meanwhile.
func runStop(world *world) ([]string, error) {
	stop := &plannedStop{world: world, began: make(chan struct{}), stopped: make(chan struct{})}
	if err := world.startInstances(stop.workOf); err != nil {
		return nil, err
	}
	if err := world.begin([]string{"quota", "callback"}); err != nil {
		return nil, err
	}
	stop.usualCalls()
	parent := make(chan answer, 1)
	go func() {
		requester := world.sidecar("callback", "paysandu")
		parent <- send(context.Background(), world.record, requester, outgoing{method: http.MethodGet, host: hostOf("quota"), path: "/read/nested", limit: parentLimit})
	}()
	select {
	case <-stop.began:
	case <-time.After(2 * time.Second):
		return nil, fmt.Errorf("no instance began with the request")
	}
	time.Sleep(200 * time.Millisecond)
	ended := make(chan time.Duration, 1)
	if world.trouble {
		go func() { ended <- stop.on.terminate() }()
	} else {
		ended <- 0
	}
	close(stop.stopped)
	got := <-parent
	world.record.add("platform: the process on %s ended %.3f s after SIGTERM", stop.on.name, (<-ended).Seconds())
	return stop.judge(got), nil
}

// usualCalls makes the calls that each machine of the service usually makes.
func (stop *plannedStop) usualCalls() {
	calls := sync.WaitGroup{}
	for _, zone := range zones {
		for range 30 {
			calls.Go(func() {
				send(context.Background(), stop.world.record, stop.world.sidecar("quota", zone), outgoing{method: http.MethodPost, host: hostOf("callback"), path: "/write/" + usualWork, body: "locks a completion", limit: 4 * time.Second})
			})
		}
	}
	calls.Wait()
}

func (stop *plannedStop) workOf(own *instance) func(context.Context, *http.Request) (int, string) {
	return func(ctx context.Context, incoming *http.Request) (int, string) {
		if incoming.URL.Path != "/read/nested" {
			return workByPath(ctx, incoming)
		}
		began := time.Now()
		stop.on = own.machine
		close(stop.began)
		<-stop.stopped
		at := time.Now()
		sleep(ctx, callAfter)
		left, err := strconv.ParseFloat(incoming.Header.Get(headerDeadline), 64)
		if err != nil {
			return http.StatusInternalServerError, err.Error()
		}
		limit := time.Duration(left*float64(time.Millisecond)) - time.Since(began)
		stop.lock.Lock()
		defer stop.lock.Unlock()
		stop.madeAt, stop.limit = time.Since(at), limit
		stop.called = send(ctx, own.record, own.machine, outgoing{method: http.MethodPost, host: hostOf("callback"), path: "/write/" + longWork, body: "locks a completion", limit: limit})
		if stop.called.err != nil || stop.called.status != http.StatusOK {
			return http.StatusInternalServerError, "the call failed"
		}
		return http.StatusOK, "the call succeeded"
	}
}

// judge applies the rule to the call of the instance.
func (stop *plannedStop) judge(parent answer) []string {
	stop.lock.Lock()
	defer stop.lock.Unlock()
	called := stop.called
	if called.id == "" {
		return nil
	}
	stop.world.record.add("case: the call was sent %.3f s after SIGTERM with %.3f s left, and ended after %.3f s; the request ended with %d", stop.madeAt.Seconds(), stop.limit.Seconds(), called.took.Seconds(), parent.status)
	cutEarly := called.took < stop.limit
	switch {
	case called.err == nil && called.header.Get(headerSignature) != "":
		return nil
	case called.err == nil && isPromise(called.status):
		// The call was refused and has not run.
		return nil
	case cutEarly && stop.madeAt > 3*time.Second && called.took > 200*time.Millisecond:
		return []string{fmt.Sprintf("LOST: the call %s, sent %.3f s after SIGTERM, was broken off at its instance after %.3f s of %.3f s and answered with %d", called.id, stop.madeAt.Seconds(), called.took.Seconds(), stop.limit.Seconds(), called.status)}
	}
	return nil
}

// isPromise reports whether a status states that the request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
