package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["minute-above"] = minuteAbove }

// minuteAbove sends a manifest in which a target-latency-s is a minute above the timeout-s
// of its route, which makes the manifest invalid.
func minuteAbove(run *caseRun) (verdict, error) {
	cluster, err := newCluster(run, deployment{cores: 3, tolerated: 1, services: []string{"agenda"}})
	if err != nil {
		return verdict{}, err
	}
	defer cluster.stopAll()
	if err := cluster.startAll(); err != nil {
		return verdict{}, err
	}
	agenda := cluster.newInstance(cluster.sidecars[0], "i-agenda-1", 20*time.Millisecond)
	if err := agenda.start(); err != nil {
		return verdict{}, err
	}
	visit := route("agenda", "idempotent", "/visit/", 4, 1.2)
	if err := cluster.put(manifest("r5", 0, []string{"agenda"}, object{"r-visit": visit}), 20*time.Second); err != nil {
		return verdict{}, err
	}
	if err := cluster.awaitServed(cluster.sidecars[0], http.MethodGet, "/visit/1"); err != nil {
		return verdict{}, err
	}
	added := route("agenda", "idempotent", "/added/", 5.02, 1.2)
	if run.trouble {
		added = route("agenda", "idempotent", "/added/", 5.02, 65.02)
	}
	body, err := json.Marshal(manifest("r7", "r5", []string{"agenda"}, object{"r-visit": visit, "r-added": added}))
	if err != nil {
		return verdict{}, err
	}
	status, err := cluster.putUntilClear(body)
	if err != nil {
		return verdict{}, err
	}
	sleep(run, 2500*time.Millisecond)
	if _, _, err := cluster.get(cluster.cores[0]); err != nil {
		return verdict{}, err
	}
	inForce := cluster.request(cluster.sidecars[0], http.MethodGet, "/added/1", "", 4*time.Second)
	reason := fmt.Sprintf("the manifest was answered %d, and then a request on its new route %v", status, inForce)
	broken := run.trouble && (status/100 == 2 || inForce.status == http.StatusOK)
	if !run.trouble && status != http.StatusOK {
		return verdict{}, fmt.Errorf("a valid manifest was answered %d", status)
	}
	return verdict{broken: broken, reason: reason}, nil
}

// putUntilClear sends a manifest until it has a clear answer, and returns its status.
func (cluster *cluster) putUntilClear(body []byte) (int, error) {
	for range 20 {
		for _, core := range cluster.cores {
			status, err := cluster.putOnce(core, body)
			if err == nil && status < http.StatusInternalServerError {
				return status, nil
			}
			sleep(cluster.run, 200*time.Millisecond)
		}
	}
	return 0, fmt.Errorf("the manifest has no clear answer")
}
