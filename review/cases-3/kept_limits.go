package main

import (
	"net/http"
	"strings"
	"time"
)

func init() { plays["kept-limits"] = keptLimits }

const keptConnections = 40

// keptLimits sends requests with 15.5 KB of headers over connections that requesters have kept
// open, after a manifest that allows 16 KB was acknowledged. Before it 4 KB were allowed.
// Without the disruption 16 KB are allowed from the start and the second manifest changes
// another route only.
func keptLimits(record *record, trouble bool) (bool, error) {
	cluster, err := newCluster(record, 3, "agenda", "agenda", "subsidios")
	if err != nil {
		return false, err
	}
	defer cluster.close()
	if err := cluster.startAll(); err != nil {
		return false, err
	}
	routes := map[string]any{"r-visit": route("agenda.example", "/visit/", "idempotent", "agenda")}
	first := manifest(routes, "agenda", "subsidios")
	if trouble {
		first["limits"].(map[string]any)["max-header-bytes"] = 4096
	}
	if err := cluster.mustPut(first); err != nil {
		return false, err
	}
	if err := cluster.awaitReady(cluster.sidecars()...); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	from := cluster.sidecars()[2]
	var kept []*requester
	for range keptConnections {
		requester, err := cluster.connect(from)
		if err != nil {
			return false, err
		}
		defer requester.close()
		requester.do(http.MethodGet, "agenda.example", "/visit/1", nil, nil)
		kept = append(kept, requester)
	}
	second := manifest(routes, "agenda", "subsidios")
	routes["r-other"] = route("agenda.example", "/other/", "idempotent", "agenda")
	if err := cluster.mustPut(second); err != nil {
		return false, err
	}
	// config-apply-s is 2.5, connectivity-window-s 3.
	time.Sleep(6 * time.Second)
	large := map[string]string{"Cookie": strings.Repeat("c", 15500)}
	denied := 0
	for _, requester := range kept {
		if result := requester.do(http.MethodGet, "agenda.example", "/visit/2", nil, large); result.status == http.StatusRequestHeaderFieldsTooLarge {
			denied++
		}
	}
	fresh := cluster.once(from, http.MethodGet, "agenda.example", "/visit/2", nil, large)
	record.say("the same request over a new connection is answered %d", fresh.status)
	record.say("%d of %d requests that the manifest in force allows are answered 431 by the node; the rule allows %d", denied, keptConnections, 5+2*keptConnections/500)
	return denied > 5+2*keptConnections/500, nil
}
