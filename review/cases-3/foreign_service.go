package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"time"
)

func init() { plays["foreign-service"] = foreignService }

const (
	foreignName  = "agenda-old"
	foreignCount = 40
)

// foreignService sends one status report of another writer to a node, before the first
// manifest. It names a service that nothing else names. Then requests begin on that machine,
// and an instance elsewhere has to get the service of the machine as their caller. Without
// the disruption that report is not sent.
func foreignService(record *record, trouble bool) (bool, error) {
	cluster, err := newCluster(record, 3, "agenda", "subsidios")
	if err != nil {
		return false, err
	}
	defer cluster.close()
	if err := cluster.startAll(); err != nil {
		return false, err
	}
	target, from := cluster.sidecars()[0], cluster.sidecars()[1]
	// The instance has reported itself before.
	time.Sleep(2 * time.Second)
	if trouble {
		status, err := cluster.reportForeign(from)
		record.add("the report of another writer at %s is answered %d, %v", from.name, status, err)
	}
	if err := cluster.mustPut(manifest(map[string]any{
		"r-visit": route("agenda.example", "/visit/", "idempotent", "agenda"),
		"r-grant": route("subsidios.example", "/grant/", "idempotent", "subsidios"),
	}, "agenda", "subsidios")); err != nil {
		return false, err
	}
	if err := cluster.awaitReady(target); err != nil {
		return false, err
	}
	// Several status reports of the instance come meanwhile.
	time.Sleep(8 * time.Second)
	record.say("%s is ready: %v; it is the only one of its zone", from.name, cluster.isReady(from))
	served := 0
	for range foreignCount {
		if cluster.once(from, http.MethodGet, "agenda.example", "/visit/1", nil, nil).status == http.StatusOK {
			served++
		}
	}
	granted := 0
	for range foreignCount {
		if cluster.once(target, http.MethodGet, "subsidios.example", "/grant/1", nil, nil).status == http.StatusOK {
			granted++
		}
	}
	target.instance.lock.Lock()
	defer target.instance.lock.Unlock()
	wrong := 0
	for _, run := range target.instance.runs {
		if caller := run.header.Get("X-Magnoliawall-Caller-Service"); caller != from.service {
			wrong++
			if wrong == 1 {
				record.say("request %s, which began on the machine of %s, ran with the caller %q", run.id, from.service, caller)
			}
		}
	}
	record.say("%d of %d requests ran, %d of them with a wrong caller; of %d requests to the machine's own service %d were served", len(target.instance.runs), foreignCount, wrong, foreignCount, granted)
	if served < foreignCount/4 {
		return false, errors.New("too few requests were served")
	}
	return wrong > 0, nil
}

// reportForeign sends a status report that is like those of the instance of a host, but for
// its id and its service.
func (cluster *cluster) reportForeign(host *host) (int, error) {
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold-remaining-s":0,"seq":1,"born":%d}`,
		foreignName, cluster.at(host, cluster.ports.app), host.zone, cluster.slots, time.Now().UnixMilli())
	request, err := http.NewRequest(http.MethodPut, "http://"+cluster.at(host, cluster.ports.control)+"/magnoliawall/instances/i-00f0e1d2", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := operatorClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}
