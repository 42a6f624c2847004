package main

import (
	"net/http"
	"time"
)

func init() { plays["host-case"] = hostCase }

// hostCase sends requests with the Host that an acknowledged manifest names, letter by
// letter. Without the disruption the manifest adds the route under a host in lower case.
func hostCase(record *record, trouble bool) (bool, error) {
	cluster, err := newCluster(record, 3, "agenda", "agenda", "subsidios")
	if err != nil {
		return false, err
	}
	defer cluster.close()
	if err := cluster.startAll(); err != nil {
		return false, err
	}
	routes := map[string]any{"r-visit": route("agenda.example", "/visit/", "idempotent", "agenda")}
	if err := cluster.mustPut(manifest(routes, "agenda", "subsidios")); err != nil {
		return false, err
	}
	if err := cluster.awaitReady(cluster.sidecars()...); err != nil {
		return false, err
	}
	added := "depot-salto.example"
	if trouble {
		added = "Depot-Salto.example"
	}
	routes["r-depot"] = route(added, "/depot/", "idempotent", "agenda")
	if err := cluster.mustPut(manifest(routes, "agenda", "subsidios")); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	const count = 40
	denied, served := 0, 0
	for number := range count {
		host := cluster.sidecars()[number%3]
		switch cluster.once(host, http.MethodGet, added, "/depot/1", nil, nil).status {
		case http.StatusNotFound:
			denied++
		case http.StatusOK:
			served++
		}
	}
	record.say("%d of %d requests on the route of host %q are answered 404, %d are served; the rule allows %d", denied, count, added, served, 5+count/500)
	return denied > 5+count/500, nil
}
