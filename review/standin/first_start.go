package main

import (
	"fmt"
	"time"
)

func init() { cases["first-start"] = firstStart }

// firstStart starts a system for the first time, its third core machine 0.3 s after the
// others, and kills the process of one that has started. It is started again 0.1 s later, at
// which the system does not start for the first time any more.
func firstStart(run *caseRun) (verdict, error) {
	cluster, err := newCluster(run, deployment{cores: 3, tolerated: 1, services: []string{"agenda"}})
	if err != nil {
		return verdict{}, err
	}
	defer cluster.stopAll()
	for _, core := range cluster.cores[:2] {
		if err := core.start(); err != nil {
			return verdict{}, err
		}
	}
	sleep(run, 100*time.Millisecond)
	if run.trouble {
		run.note("platform: the process of %s is killed and started again", cluster.cores[0].name)
		cluster.cores[0].kill()
		sleep(run, 100*time.Millisecond)
		if err := cluster.cores[0].start(); err != nil {
			return verdict{}, err
		}
	}
	sleep(run, 100*time.Millisecond)
	if err := cluster.cores[2].start(); err != nil {
		return verdict{}, err
	}
	began := time.Now()
	err = cluster.put(manifest("r1", 0, []string{"agenda"}, object{"r-agenda": route("agenda", "idempotent", "/visit/", 4, 1.2)}), 40*time.Second)
	reason := fmt.Sprintf("the first manifest: %v, after %.1f s", err, time.Since(began).Seconds())
	return verdict{broken: err != nil, reason: reason}, nil
}
