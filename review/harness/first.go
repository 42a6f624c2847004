package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// startSpread is the time within which all machines start, and killAfter when all
	// processes of the core are killed, counted from the first start.
	startSpread = 250 * time.Millisecond
	killAfter   = 260 * time.Millisecond
	// downTime is how long the processes are down.
	downTime = 500 * time.Millisecond
	// waitForService is how long the operator and the requesters wait.
	waitForService = 30 * time.Second
)

// runFirst kills all processes of the core as the system starts for the first time, the last
// of them right after its start.
func runFirst(world *world) ([]string, error) {
	began := time.Now()
	last := world.cores[len(world.cores)-1]
	for _, machine := range world.machines() {
		if machine == last {
			continue
		}
		if err := machine.start(true); err != nil {
			return nil, err
		}
	}
	if err := world.startInstances(nil); err != nil {
		return nil, err
	}
	time.Sleep(startSpread - time.Since(began))
	if err := last.start(true); err != nil {
		return nil, err
	}
	world.record.add("platform: all machines are started, %s the last", last.name)
	if world.trouble {
		time.Sleep(killAfter - time.Since(began))
		if err := world.killCore(); err != nil {
			return nil, err
		}
	}
	return world.awaitFirstAnswer(), nil
}

// killCore kills all processes of the core at the same moment and starts them again, with
// their disks. It is no first start any more.
func (world *world) killCore() error {
	killing := sync.WaitGroup{}
	for _, core := range world.cores {
		killing.Go(func() {
			core.signal(syscall.SIGKILL)
			core.kill()
		})
	}
	killing.Wait()
	time.Sleep(downTime)
	for _, core := range world.cores {
		if err := core.start(false); err != nil {
			return err
		}
	}
	world.record.add("platform: all processes of the core are started again")
	return nil
}

// awaitFirstAnswer sends the first manifest until it is acknowledged, and then requests
// until one is served.
func (world *world) awaitFirstAnswer() []string {
	deadline := time.Now().Add(waitForService)
	acknowledged := false
	for time.Now().Before(deadline) {
		if !acknowledged {
			status, err := world.put(newManifest(1, 0, []string{"quota"}))
			acknowledged = err == nil && status == http.StatusOK
		}
		got := send(context.Background(), world.record, world.sidecars[0], outgoing{method: http.MethodGet, host: hostOf("quota"), path: "/read/10ms", limit: time.Second})
		if got.err == nil && got.status == http.StatusOK {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	for _, core := range world.cores {
		for _, line := range core.logLines("replica:") {
			world.record.add("log of %s: %s", core.name, line)
		}
	}
	return []string{fmt.Sprintf("Fault: no request was served in %s, manifest acknowledged: %t", waitForService, acknowledged)}
}
