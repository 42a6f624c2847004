package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["late-report"] = lateReport }

const (
	drainTime = 2500 * time.Millisecond
	// reportDelay is how late one status report arrives.
	reportDelay = 6500 * time.Millisecond
)

// lateReport lets an instance leave by DELETE, kills and restarts the node beside it, and
// delivers one of the instance's earlier status reports late.
func lateReport(run *caseRun) (verdict, error) {
	cluster, err := newCluster(run, deployment{cores: 3, tolerated: 1, services: []string{"agenda", "consumo", "consumo"}})
	if err != nil {
		return verdict{}, err
	}
	defer cluster.stopAll()
	if err := cluster.startAll(); err != nil {
		return verdict{}, err
	}
	leaver := cluster.newInstance(cluster.sidecars[1], "i-consumo-1", 20*time.Millisecond)
	instances := []*instance{
		cluster.newInstance(cluster.sidecars[0], "i-agenda-1", 20*time.Millisecond), leaver,
		cluster.newInstance(cluster.sidecars[2], "i-consumo-2", 20*time.Millisecond),
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
	sleep(run, 4*time.Second)
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		cluster.requestUntil(cluster.sidecars[0], "/meter/2f", stop)
	}()
	sleep(run, time.Second)

	delayed := leaver.report("ready")
	leaver.silent.Store(true)
	if run.trouble {
		run.note("instance %s: sends PUT %s, which is %v under way", leaver.id, delayed, reportDelay)
		time.AfterFunc(reportDelay, func() { leaver.send(http.MethodPut, delayed) })
	} else {
		leaver.send(http.MethodPut, delayed)
	}
	sleep(run, 100*time.Millisecond)
	leaver.leaving.Store(true)
	if !leaver.send(http.MethodDelete, nil) {
		return verdict{}, fmt.Errorf("the DELETE was not acknowledged")
	}
	acknowledged := time.Now()
	if run.trouble {
		run.note("platform: the process of %s is killed and started again", leaver.machine.name)
		leaver.machine.kill()
		sleep(run, 300*time.Millisecond)
		if err := leaver.machine.start(); err != nil {
			return verdict{}, err
		}
	}
	sleep(run, 11*time.Second)
	leaver.crash()
	run.note("instance %s: exits", leaver.id)
	close(stop)
	<-ended
	return judgeDrain(run, leaver, acknowledged), nil
}

func consumoManifest() object {
	return manifest("r5", 0, []string{"agenda", "consumo"}, object{
		"r-agenda":  route("agenda", "idempotent", "/visit/", 4, 1.2),
		"r-consumo": route("consumo", "idempotent", "/meter/", 4, 2),
	})
}

// requestUntil sends a request each 20 ms until stop is closed.
func (cluster *cluster) requestUntil(at *machine, path string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
			go cluster.request(at, http.MethodGet, path, "", 4*time.Second)
		}
	}
}

// judgeDrain applies the rule DRAIN: a request reaches an instance later than drain-s after
// it was acknowledged that the instance is draining or gone.
func judgeDrain(run *caseRun, left *instance, acknowledged time.Time) verdict {
	late, first, before := 0, time.Duration(0), 0
	for _, arrived := range left.all() {
		after := arrived.at.Sub(acknowledged)
		if after <= drainTime {
			before++
			continue
		}
		if late == 0 {
			first = after
		}
		late++
		run.note("late: %s reached %s %.3f s after the acknowledgement", arrived.id, left.id, after.Seconds())
	}
	reason := fmt.Sprintf("%d requests reached %s later than %v after the acknowledgement that it is draining or gone, the first %.3f s after it; %d earlier", late, left.id, drainTime, first.Seconds(), before)
	return verdict{broken: late > 0, reason: reason}
}
