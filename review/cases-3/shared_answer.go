package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

func init() { plays["shared-answer"] = sharedAnswer }

// sharedAnswer sends pairs of requests on an idempotent route that carry the same
// Idempotency-Key, as the retry of a requester that gave up waiting does, each with its own
// request id. Each has to get the answer to itself. Without the disruption the second one is
// sent once the first has its answer.
func sharedAnswer(record *record, trouble bool) (bool, error) {
	cluster, err := newCluster(record, 3, "agenda", "agenda", "subsidios")
	if err != nil {
		return false, err
	}
	defer cluster.close()
	if err := cluster.startAll(); err != nil {
		return false, err
	}
	for _, host := range cluster.sidecars() {
		host.instance.work = func(writer http.ResponseWriter, incoming *http.Request, _ []byte) {
			time.Sleep(400 * time.Millisecond)
			fmt.Fprintf(writer, "visit plan of %s for request %s\n", incoming.Header.Get("Authorization"), incoming.Header.Get("X-Magnoliawall-Request-Id"))
			if flusher, ok := writer.(http.Flusher); ok {
				flusher.Flush()
			}
			_, _ = io.WriteString(writer, "end\n")
		}
	}
	if err := cluster.mustPut(manifest(map[string]any{"r-visit": route("agenda.example", "/visit/", "idempotent", "agenda")}, "agenda", "subsidios")); err != nil {
		return false, err
	}
	if err := cluster.awaitReady(cluster.sidecars()...); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	from := cluster.sidecars()[2]
	foreign, served := 0, 0
	for pair := range 10 {
		key, path := fmt.Sprintf("key-%d", pair), fmt.Sprintf("/visit/%d", pair)
		extra := map[string]string{"Idempotency-Key": key, "Authorization": "technician-A"}
		first := make(chan sent, 1)
		go func() { first <- cluster.once(from, http.MethodGet, "agenda.example", path, nil, extra) }()
		if trouble {
			// The requester has got no answer and sends the request again.
			time.Sleep(200 * time.Millisecond)
		} else {
			first <- <-first
		}
		second := cluster.once(from, http.MethodGet, "agenda.example", path, nil, map[string]string{"Idempotency-Key": key, "Authorization": "technician-B"})
		for _, result := range []sent{<-first, second} {
			if result.status != 200 {
				continue
			}
			served++
			if named := result.header.Get("X-Magnoliawall-Request-Id"); named != result.id {
				foreign++
				record.say("request %s got the answer to request %s: %q", result.id, named, result.body)
			}
		}
	}
	record.say("%d of 20 requests were served, %d of them with the answer to another request", served, foreign)
	if served < 10 {
		return false, fmt.Errorf("only %d of 20 requests were served", served)
	}
	return foreign > 0, nil
}
