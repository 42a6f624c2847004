package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["earlier-birth"] = earlierBirth }

// clockStep is by how much the time of day on the instance's machine was ahead.
const clockStep = 2000 * time.Millisecond

// earlierBirth crashes an instance that has just started while the clock of its machine was
// ahead, and starts it again under its id after the clock has jumped back. The second
// lifetime then drains.
func earlierBirth(run *caseRun) (verdict, error) {
	cluster, err := newCluster(run, deployment{cores: 3, tolerated: 1, services: []string{"agenda", "consumo", "consumo"}})
	if err != nil {
		return verdict{}, err
	}
	defer cluster.stopAll()
	if err := cluster.startAll(); err != nil {
		return verdict{}, err
	}
	first := cluster.newInstance(cluster.sidecars[1], "i-consumo-1", 20*time.Millisecond)
	others := []*instance{
		cluster.newInstance(cluster.sidecars[0], "i-agenda-1", 20*time.Millisecond),
		cluster.newInstance(cluster.sidecars[2], "i-consumo-2", 20*time.Millisecond),
	}
	for _, one := range others {
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
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		cluster.requestUntil(cluster.sidecars[0], "/meter/2f", stop)
	}()
	first.bornAt = time.Now().UnixMilli()
	if run.trouble {
		first.bornAt = time.Now().Add(clockStep).UnixMilli()
		run.note("the time of day on %s is %v ahead as the instance starts", first.machine.name, clockStep)
	}
	if err := first.start(); err != nil {
		return verdict{}, err
	}
	sleep(run, 800*time.Millisecond)
	run.note("instance %s: crashes; the time of day on its machine is right again", first.id)
	first.crash()
	sleep(run, 600*time.Millisecond)
	second := cluster.newInstance(cluster.sidecars[1], first.id, 20*time.Millisecond)
	if err := second.start(); err != nil {
		return verdict{}, err
	}
	sleep(run, 6*time.Second)
	second.draining.Store(true)
	second.silent.Store(true)
	if !second.send(http.MethodPut, second.report("draining")) {
		return verdict{}, fmt.Errorf("the draining report was not acknowledged")
	}
	acknowledged := time.Now()
	sleep(run, drainTime+2500*time.Millisecond)
	close(stop)
	<-ended
	return judgeDrain(run, second, acknowledged), nil
}
