package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["repeated-key"] = repeatedKey }

// repeatedKey lets requesters repeat their request at once: each attempt has an id of its
// own, and all attempts of one requester the same Idempotency-Key.
func repeatedKey(run *caseRun) (verdict, error) {
	cluster, err := newCluster(run, deployment{cores: 3, tolerated: 1, services: []string{"agenda", "consumo", "consumo"}})
	if err != nil {
		return verdict{}, err
	}
	defer cluster.stopAll()
	if err := cluster.startAll(); err != nil {
		return verdict{}, err
	}
	instances := []*instance{
		cluster.newInstance(cluster.sidecars[0], "i-agenda-1", 20*time.Millisecond),
		cluster.newInstance(cluster.sidecars[1], "i-consumo-1", 360*time.Millisecond),
		cluster.newInstance(cluster.sidecars[2], "i-consumo-2", 360*time.Millisecond),
	}
	for _, one := range instances {
		if err := one.start(); err != nil {
			return verdict{}, err
		}
	}
	if err := cluster.put(consumoManifest(), 20*time.Second); err != nil {
		return verdict{}, err
	}
	if err := cluster.awaitServed(cluster.sidecars[0], http.MethodGet, "/meter/1"); err != nil {
		return verdict{}, err
	}
	sleep(run, 2*time.Second)
	var results []outcome
	for requester := range 20 {
		// 3 of 10 requesters repeat.
		repeats := 0
		if requester%10 < 3 {
			repeats = 3
		}
		results = append(results, cluster.attempts(requester, repeats)...)
	}
	return judgeMixed(run, results), nil
}

// attempts sends a request of one requester and its repeats, at once if there is trouble and
// one after the other if there is none.
func (cluster *cluster) attempts(requester, repeats int) []outcome {
	headers := fmt.Sprintf("Idempotency-Key: reading-%d\r\n", requester)
	path := fmt.Sprintf("/meter/household-%d", requester)
	results := make([]outcome, 1+repeats)
	group := sync.WaitGroup{}
	for index := range results {
		send := func() {
			results[index] = cluster.requestWith(cluster.sidecars[0], http.MethodGet, path, headers, "", 4*time.Second)
		}
		if !cluster.run.trouble {
			send()
			continue
		}
		group.Go(send)
		time.Sleep(10 * time.Millisecond)
	}
	group.Wait()
	return results
}

// judgeMixed applies the rule MIXED: a requester gets an answer that belongs to another
// request.
func judgeMixed(run *caseRun, results []outcome) verdict {
	own, foreign := 0, 0
	for _, result := range results {
		switch {
		case result.err != nil || result.status != http.StatusOK:
		case result.named == result.id:
			own++
		default:
			foreign++
			run.note("mixed: the attempt %s got the answer to %s, with the proof %s", result.id, result.named, result.proof)
		}
	}
	reason := fmt.Sprintf("%d attempts, %d got their own answer and %d that of another one", len(results), own, foreign)
	return verdict{broken: foreign > 0, reason: reason}
}
