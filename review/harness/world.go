package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// configApply is the bound config-apply-s of the small sites, with a margin.
const configApply = 3 * time.Second

// startInstances starts an instance on each sidecar machine. It works on a request for the
// time that its path ends with, such as /read/120ms, unless work is set.
func (world *world) startInstances(work func(*instance) func(context.Context, *http.Request) (int, string)) error {
	for index, machine := range world.sidecars {
		started := &instance{record: world.record, machine: machine, id: fmt.Sprintf("i-%s-%d", machine.service, index+1), slots: 62}
		started.work = workByPath
		if work != nil {
			started.work = work(started)
		}
		if err := started.start(); err != nil {
			return err
		}
		world.instances[machine] = started
	}
	return nil
}

func workByPath(ctx context.Context, incoming *http.Request) (int, string) {
	parts := strings.Split(incoming.URL.Path, "/")
	duration, err := time.ParseDuration(parts[len(parts)-1])
	if err != nil {
		return http.StatusBadRequest, "the path does not end with a duration"
	}
	sleep(ctx, duration)
	return http.StatusOK, "worked for " + duration.String()
}

// begin sends the first manifest, waits until it is in force and all machines are ready, and
// until each machine gets an answer from each service.
func (world *world) begin(services []string) error {
	status, err := world.put(newManifest(1, 0, services))
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("the first manifest was answered with %d: %w", status, err)
	}
	if err := world.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(configApply)
	for _, machine := range world.sidecars {
		for _, service := range services {
			if err := world.awaitService(machine, service); err != nil {
				return err
			}
		}
	}
	return nil
}

func (world *world) awaitService(machine *machine, service string) error {
	for range 40 {
		got := send(context.Background(), world.record, machine, outgoing{method: http.MethodGet, host: hostOf(service), path: "/read/10ms", limit: time.Second})
		if got.err == nil && got.status == http.StatusOK {
			return nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return fmt.Errorf("%s gets no answer from %s", machine.name, service)
}
