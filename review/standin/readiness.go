package main

import (
	"net/http"
	"sync/atomic"
	"time"
)

// readinessWatch asks a node once a second whether it is ready, as the platform does.
type readinessWatch struct {
	misses atomic.Int64
	// zoneNodes is the number of nodes in the zone of the machine, this one included. The
	// others are ready.
	zoneNodes int
}

func (cluster *cluster) watchReadiness(at *machine, zoneNodes int) *readinessWatch {
	watch := &readinessWatch{zoneNodes: zoneNodes}
	go func() {
		for cluster.run.ctx.Err() == nil {
			answer, err := controlClient.Get("http://" + at.address(cluster.ports.ready) + "/magnoliawall/readiness")
			ready := err == nil && answer.StatusCode == http.StatusOK
			if err == nil {
				_ = answer.Body.Close()
			}
			if ready {
				watch.misses.Store(0)
			} else {
				watch.misses.Add(1)
			}
			cluster.run.note("platform: readiness of %s: %v; its requesters get new work: %v", at.name, ready, watch.getsWork())
			sleep(cluster.run, time.Second)
		}
	}()
	return watch
}

// getsWork reports whether the requesters of the machine receive new work. After two misses
// they do not, unless fewer than half of the zone's nodes are in.
func (watch *readinessWatch) getsWork() bool {
	if watch.misses.Load() < 2 {
		return true
	}
	return 2*(watch.zoneNodes-1) < watch.zoneNodes
}
