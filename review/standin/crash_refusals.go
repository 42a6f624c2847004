package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

func init() { cases["crash-refusals"] = crashRefusals }

const (
	firstPath = "/meter/household-7"
	addedPath = "/added/tariff"
	// One of seven instances is less than the share of 0.15 that crashes at a time.
	consumoInstances = 7
	// steadyAfter is how long after the last crash the deployment is in steady state.
	steadyAfter = 6 * time.Second
)

// crashRefusals adds a route, crashes two instances one after the other while each works on
// a request for the same path of that route, and then sends requests on the first route and
// on the added one. No request is the cause of a crash.
func crashRefusals(run *caseRun) (verdict, error) {
	cluster, err := newCluster(run, deployment{cores: 3, tolerated: 1, services: append([]string{"agenda"}, slices.Repeat([]string{"consumo"}, consumoInstances)...)})
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
	var consumo []*instance
	for index, at := range cluster.sidecars[1:] {
		consumo = append(consumo, cluster.newInstance(at, fmt.Sprintf("i-consumo-%d", index+1), 400*time.Millisecond))
	}
	for _, one := range consumo {
		if err := one.start(); err != nil {
			return verdict{}, err
		}
	}
	if err := cluster.addRoute(); err != nil {
		return verdict{}, err
	}
	for crash := 0; crash < 2; {
		working := cluster.requestAndWatch(consumo)
		if working < 0 {
			continue
		}
		crash++
		if run.trouble {
			if consumo[working], err = cluster.crashAndStart(consumo[working], crash); err != nil {
				return verdict{}, err
			}
		}
		sleep(run, 4*time.Second)
	}
	sleep(run, steadyAfter)
	first, added := 0, 0
	const each = 40
	for range each {
		if cluster.request(cluster.sidecars[0], http.MethodGet, firstPath, "", 4*time.Second).served() {
			first++
		}
		if cluster.request(cluster.sidecars[0], http.MethodGet, addedPath, "", 4*time.Second).served() {
			added++
		}
	}
	reason := fmt.Sprintf("in steady state %d of %d requests on the first route were served and %d of %d on the added one", first, each, added, each)
	return verdict{broken: 4*added < first, reason: reason}, nil
}

// addRoute sends a first manifest and then one with a further route.
func (cluster *cluster) addRoute() error {
	meter := route("consumo", "idempotent", "/meter/", 4, 2)
	names := []string{"agenda", "consumo"}
	if err := cluster.put(manifest("r5", 0, names, object{"r-meter": meter}), 20*time.Second); err != nil {
		return err
	}
	if err := cluster.awaitServed(cluster.sidecars[0], http.MethodGet, firstPath); err != nil {
		return err
	}
	body, err := json.Marshal(manifest("r7", "r5", names, object{"r-meter": meter, "r-added": route("consumo", "idempotent", "/added/", 4, 2)}))
	if err != nil {
		return err
	}
	if status, err := cluster.putUntilClear(body); err != nil || status != http.StatusOK {
		return fmt.Errorf("the manifest with the added route was answered %d: %w", status, err)
	}
	sleep(cluster.run, 3*time.Second)
	return nil
}

// requestAndWatch sends a request on the added route and returns the position of the
// instance that works on it, or -1.
func (cluster *cluster) requestAndWatch(instances []*instance) int {
	before := make([]int, len(instances))
	for index, one := range instances {
		before[index] = len(one.all())
	}
	go cluster.request(cluster.sidecars[0], http.MethodGet, addedPath, "", 4*time.Second)
	sleep(cluster.run, 150*time.Millisecond)
	for index, one := range instances {
		if len(one.all()) > before[index] {
			return index
		}
	}
	sleep(cluster.run, time.Second)
	return -1
}

// crashAndStart crashes an instance and starts it again under another id, a second later.
func (cluster *cluster) crashAndStart(crashed *instance, number int) (*instance, error) {
	cluster.run.note("instance %s: crashes", crashed.id)
	crashed.crash()
	sleep(cluster.run, time.Second)
	next := cluster.newInstance(crashed.machine, fmt.Sprintf("%s-again-%d", crashed.id, number), crashed.work)
	return next, next.start()
}

func (outcome outcome) served() bool {
	return outcome.err == nil && outcome.status == http.StatusOK && outcome.proof != ""
}
