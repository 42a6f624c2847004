package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { plays["read-back"] = readBack }

// readBack changes a time-out and reads the manifest back. Without the disruption the
// time-out keeps its value.
func readBack(record *record, trouble bool) (bool, error) {
	cluster, err := newCluster(record, 3, "agenda", "subsidios")
	if err != nil {
		return false, err
	}
	defer cluster.close()
	if err := cluster.startAll(); err != nil {
		return false, err
	}
	visit := route("agenda.example", "/visit/", "idempotent", "agenda")
	sent := manifest(map[string]any{"r-visit": visit}, "agenda", "subsidios")
	if err := cluster.mustPut(sent); err != nil {
		return false, err
	}
	if trouble {
		visit["timeout-s"] = 4.1
	}
	if err := cluster.mustPut(sent); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	wrong := 0
	for _, core := range cluster.cores() {
		status, body, err := cluster.call(context.Background(), core, http.MethodGet, nil)
		if err != nil || status != http.StatusOK {
			return false, fmt.Errorf("%s answers the read with %d, %w", core.name, status, err)
		}
		read := struct {
			Version string
			Routes  map[string]struct {
				Timeout json.Number `json:"timeout-s"`
			}
		}{}
		if err := json.Unmarshal(body, &read); err != nil {
			return false, err
		}
		got, _ := read.Routes["r-visit"].Timeout.Float64()
		record.say("%s: version %s was sent with timeout-s %v and is read back with %s", core.name, read.Version, visit["timeout-s"], read.Routes["r-visit"].Timeout)
		if got != visit["timeout-s"].(float64) {
			wrong++
		}
	}
	return wrong > 0, nil
}
