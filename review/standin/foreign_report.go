package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["foreign-report"] = foreignReport }

// foreignReport delivers one status report of another writer, in which fields are missing,
// to the node beside a sound instance.
func foreignReport(run *caseRun) (verdict, error) {
	cluster, err := newCluster(run, deployment{cores: 3, tolerated: 1, services: []string{"agenda", "subsidios", "subsidios"}})
	if err != nil {
		return verdict{}, err
	}
	defer cluster.stopAll()
	if err := cluster.startAll(); err != nil {
		return verdict{}, err
	}
	agenda := cluster.newInstance(cluster.sidecars[0], "i-agenda-1", 20*time.Millisecond)
	subsidios := []*instance{
		cluster.newInstance(cluster.sidecars[1], "i-subsidios-1", 20*time.Millisecond),
		cluster.newInstance(cluster.sidecars[2], "i-subsidios-2", 20*time.Millisecond),
	}
	for _, one := range append([]*instance{agenda}, subsidios...) {
		if err := one.start(); err != nil {
			return verdict{}, err
		}
	}
	first := manifest("r5", 0, []string{"agenda", "subsidios"}, object{
		"r-agenda":    route("agenda", "idempotent", "/visit/", 4, 1.2),
		"r-subsidios": route("subsidios", "non_idempotent", "/grant/", 4, 3),
	})
	if err := cluster.put(first, 20*time.Second); err != nil {
		return verdict{}, err
	}
	if err := cluster.awaitServed(cluster.sidecars[0], http.MethodGet, "/visit/1"); err != nil {
		return verdict{}, err
	}
	if err := cluster.awaitServed(cluster.sidecars[1], http.MethodPost, "/grant/1"); err != nil {
		return verdict{}, err
	}
	sleep(run, 4*time.Second)
	if run.trouble {
		foreign, err := json.Marshal(foreignFields(agenda))
		if err != nil {
			return verdict{}, err
		}
		run.note("another writer sends a status report to the node on %s", agenda.machine.name)
		writer := &instance{run: run, id: agenda.id, machine: agenda.machine, ports: agenda.ports}
		writer.send(http.MethodPut, foreign)
	}
	for index := range 450 {
		cluster.request(cluster.sidecars[index%len(cluster.sidecars)], http.MethodPost, "/grant/2f", "grant", 4*time.Second)
	}
	return judgeRoute(run, agenda, "/grant/"), nil
}

// foreignFields is a status report without zone and version, and with the service of other
// instances.
func foreignFields(at *instance) map[string]any {
	return map[string]any{
		"service": "subsidios", "address": at.machine.address(at.ports.application), "slots": 86, "state": "ready",
		"cold-remaining-s": 0, "seq": 1, "born": time.Now().UnixMilli(),
	}
}

// judgeRoute applies the rule ROUTE: a request is run by a service to which no manifest ever
// sent allows it to go.
func judgeRoute(run *caseRun, at *instance, prefix string) verdict {
	wrong, all := 0, at.all()
	for _, arrived := range all {
		if len(arrived.path) >= len(prefix) && arrived.path[:len(prefix)] == prefix {
			wrong++
			run.note("wrong service: %s %s %s ran at %s of %s", arrived.id, arrived.method, arrived.path, at.id, at.machine.service)
		}
	}
	reason := fmt.Sprintf("%d requests for %s ran at an instance of %s, to which no manifest sends them; it ran %d requests in all", wrong, prefix, at.machine.service, len(all))
	return verdict{broken: wrong > 0, reason: reason}
}
