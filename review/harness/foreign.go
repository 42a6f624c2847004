package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// callerCheck records the caller services that instances saw, by request.
type callerCheck struct {
	lock sync.Mutex
	seen map[string]string
}

func (check *callerCheck) workOf(*instance) func(context.Context, *http.Request) (int, string) {
	return func(ctx context.Context, incoming *http.Request) (int, string) {
		check.lock.Lock()
		check.seen[incoming.Header.Get(headerRequestID)] = incoming.Header.Get(headerCaller)
		check.lock.Unlock()
		return workByPath(ctx, incoming)
	}
}

// runForeign sends a status report of another writer, with a service that no manifest names,
// to a machine whose process has no manifest yet.
func runForeign(world *world) ([]string, error) {
	check := &callerCheck{seen: make(map[string]string)}
	if err := world.startInstances(check.workOf); err != nil {
		return nil, err
	}
	machine := world.sidecar("quota", "salto")
	if err := world.awaitReport(machine); err != nil {
		return nil, err
	}
	if world.trouble {
		status, err := sendStatusReport(context.Background(), machine, "i-archive-1", object{
			"service": "archive", "address": machine.address(portApplication), "zone": machine.zone, "version": "v1",
			"slots": 62, "state": "ready", "cold-remaining-s": 0, "seq": 1, "born": time.Now().UnixMilli(),
		})
		world.record.add("another writer: status report of i-archive-1 of service archive to %s: %d %v", machine.name, status, err)
	}
	if status, err := world.put(newManifest(1, 0, []string{"quota", "callback"})); err != nil || status != http.StatusOK {
		return nil, fmt.Errorf("the first manifest was answered with %d: %w", status, err)
	}
	if err := world.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(configApply + 2*statusReportInterval)
	wrong := 0
	for range 20 {
		got := send(context.Background(), world.record, machine, outgoing{method: http.MethodGet, host: hostOf("callback"), path: "/read/20ms", limit: 2 * time.Second})
		check.lock.Lock()
		if caller, ran := check.seen[got.id]; ran && caller != machine.service {
			wrong++
		}
		check.lock.Unlock()
	}
	before := world.instances[machine].runs
	for range 60 {
		send(context.Background(), world.record, world.sidecar("callback", "salto"), outgoing{method: http.MethodGet, host: hostOf("quota"), path: "/read/20ms", limit: 2 * time.Second})
	}
	world.record.add("case: %d of 20 requests from %s ran with the service of another writer as caller; its own instance got %d of 60 requests", wrong, machine.name, world.instances[machine].runs-before)
	if wrong > 0 {
		return []string{fmt.Sprintf("UNASKED: %d requests that began on %s, a machine of %s, ran with another caller service", wrong, machine.name, machine.service)}, nil
	}
	return nil, nil
}

// awaitReport waits until a status report of the machine's own instance was acknowledged.
func (world *world) awaitReport(machine *machine) error {
	for range 100 {
		if world.instances[machine].report(context.Background()) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s acknowledges no status report", machine.name)
}
