package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["planned-stop"] = plannedStop }

const (
	gracePeriod = 6 * time.Second
	// excusedUntil is how long after a SIGTERM a request may be sent for which a break off
	// in the last sixth of the grace period is excused.
	excusedUntil = 3 * time.Second
	longWork     = 2400 * time.Millisecond
)

// plannedStop stops the only sidecar machine of a zone while its requesters go on. Their
// requests take 2.4 s at sound instances of other machines.
func plannedStop(run *caseRun) (verdict, error) {
	cluster, err := newCluster(run, deployment{cores: 3, tolerated: 1, services: []string{"agenda", "subsidios", "subsidios"}})
	if err != nil {
		return verdict{}, err
	}
	defer cluster.stopAll()
	if err := cluster.startAll(); err != nil {
		return verdict{}, err
	}
	instances := []*instance{
		cluster.newInstance(cluster.sidecars[0], "i-agenda-1", 100*time.Millisecond),
		cluster.newInstance(cluster.sidecars[1], "i-subsidios-1", longWork),
		cluster.newInstance(cluster.sidecars[2], "i-subsidios-2", longWork),
	}
	for _, one := range instances {
		// Room for all requests that are in flight at once.
		one.slots = 400
		if err := one.start(); err != nil {
			return verdict{}, err
		}
	}
	first := manifest("r5", 0, []string{"agenda", "subsidios"}, object{
		"r-agenda":    route("agenda", "idempotent", "/visit/", 4, 1.2),
		"r-subsidios": route("subsidios", "non_idempotent", "/grant/", 4, 3),
	})
	if err := cluster.put(first, 20*time.Second); err != nil {
		return verdict{}, err
	}
	stopped := cluster.sidecars[0]
	if err := cluster.awaitServed(stopped, http.MethodPost, "/grant/1"); err != nil {
		return verdict{}, err
	}
	watch := cluster.watchReadiness(stopped, 1)
	sleep(run, 4*time.Second)
	began := time.Now()
	if run.trouble {
		time.AfterFunc(time.Second, func() { stopped.signal(syscall.SIGTERM) })
		time.AfterFunc(time.Second+gracePeriod, func() { stopped.signal(syscall.SIGKILL) })
	}
	results := steadyRequests(cluster, stopped, watch, 8*time.Second)
	return judgeLost(run, results, began.Add(time.Second), instances), nil
}

// steadyRequests sends a request each 6 ms for a time and returns all outcomes.
func steadyRequests(cluster *cluster, at *machine, watch *readinessWatch, length time.Duration) []outcome {
	var lock sync.Mutex
	var results []outcome
	group := sync.WaitGroup{}
	for began := time.Now(); time.Since(began) < length; time.Sleep(6 * time.Millisecond) {
		if !watch.getsWork() {
			continue
		}
		group.Go(func() {
			result := cluster.request(at, http.MethodPost, "/grant/2f", "grant", 8*time.Second)
			lock.Lock()
			defer lock.Unlock()
			results = append(results, result)
		})
	}
	group.Wait()
	return results
}

// judgeLost applies the rule LOST around a SIGTERM: a request was read and passed on to an
// instance, and its connection ended without a complete answer.
func judgeLost(run *caseRun, results []outcome, termAt time.Time, instances []*instance) verdict {
	passedOn := map[string]bool{}
	for _, one := range instances {
		for _, arrived := range one.all() {
			passedOn[arrived.id] = true
		}
	}
	answered, lost, excused := 0, 0, 0
	for _, result := range results {
		after := result.sentAt.Sub(termAt)
		switch {
		case result.err == nil:
			answered++
		case result.sentAt.IsZero() || !passedOn[result.id]:
		case after <= excusedUntil:
			excused++
			run.note("excused: %s was sent %.3f s after the SIGTERM: %v", result.id, after.Seconds(), result)
		default:
			lost++
			run.note("lost: %s was sent %.3f s after the SIGTERM, passed on to an instance, and cut %.3f s after the SIGTERM: %v", result.id,
				after.Seconds(), result.endedAt.Sub(termAt).Seconds(), result)
		}
	}
	reason := fmt.Sprintf("%d requests, %d answered, %d passed on to an instance and cut without an answer, and %d more that are excused", len(results), answered, lost, excused)
	return verdict{broken: lost > 0, reason: reason}
}
