package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { plays["split-weights"] = splitWeights }

const (
	splitNodes    = 12
	splitTime     = 75 * time.Second
	changeGap     = time.Second
	meanPause     = 2 * time.Second
	weightAllowed = 0.2
)

// splitWeights sends requests on a route that is split evenly between two services, while
// acknowledged manifests change another route. Without the disruption there are no changes.
func splitWeights(record *record, trouble bool) (bool, error) {
	var services []string
	for number := range splitNodes {
		services = append(services, []string{"agenda", "subsidios"}[number%2])
	}
	cluster, err := newCluster(record, 3, services...)
	if err != nil {
		return false, err
	}
	defer cluster.close()
	if err := cluster.startAll(); err != nil {
		return false, err
	}
	split := route("agenda.example", "/visit/", "idempotent", "agenda")
	delete(split, "service")
	split["weighted-services"] = []any{map[string]any{"service": "agenda", "weight": 50}, map[string]any{"service": "subsidios", "weight": 50}}
	other := route("agenda.example", "/other/", "idempotent", "agenda")
	changing := manifest(map[string]any{"r-visit": split, "r-other": other}, "agenda", "subsidios")
	if err := cluster.mustPut(changing); err != nil {
		return false, err
	}
	if err := cluster.awaitReady(cluster.sidecars()...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	end := time.Now().Add(splitTime)
	requesters := sync.WaitGroup{}
	for _, host := range cluster.sidecars() {
		requesters.Go(func() {
			for {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(meanPause)))
				if time.Now().After(end) {
					return
				}
				cluster.once(host, http.MethodGet, "agenda.example", "/visit/1", nil, nil)
			}
		})
	}
	changes := 0
	for trouble && time.Now().Before(end) {
		other["timeout-s"] = 2 + float64(changes%4)
		if err := cluster.mustPut(changing); err != nil {
			return false, err
		}
		changes++
		time.Sleep(changeGap)
	}
	requesters.Wait()
	runs := map[string]int{}
	for _, host := range cluster.sidecars() {
		runs[host.service] += host.instance.runCount()
	}
	total := runs["agenda"] + runs["subsidios"]
	if total < 200 {
		return false, fmt.Errorf("only %d requests ran", total)
	}
	share := float64(runs["agenda"]) / float64(total)
	record.say("%d requests ran while %d changes of another route were acknowledged; agenda has half of the weight and got %.3f of them, the rule allows 0.5 +- %.1f", total, changes, share, weightAllowed)
	return math.Abs(share-0.5) > weightAllowed, nil
}
