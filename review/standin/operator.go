package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

type object = map[string]any

// route describes a route of a manifest of a case.
func route(service, kind, prefix string, timeout, aim float64) object {
	return object{
		"host": "gota.example", "path-prefix": prefix, "kind": kind, "timeout-s": timeout, "target-latency-s": aim, "priority": 0,
		"service": service, "max-attempts": 2,
	}
}

func manifest(version, base any, services []string, routes object) object {
	described := object{}
	for _, name := range services {
		described[name] = object{"health-path": healthPath, "max-connections": 472, "protocol": "h1", "tls": false}
	}
	return object{
		"version": version, "base-version": base, "routes": routes, "services": described,
		"limits": object{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15},
	}
}

// putOnce sends a manifest to one core machine.
func (cluster *cluster) putOnce(core *machine, body []byte) (int, error) {
	call, err := http.NewRequest(http.MethodPut, "http://"+core.address(cluster.ports.control)+"/magnoliawall/config", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	call.Header.Set("Content-Type", "application/json")
	answer, err := controlClient.Do(call)
	if err != nil {
		cluster.run.note("operator: PUT %s at %s -> %v", body, core.name, err)
		return 0, err
	}
	text, _ := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	cluster.run.note("operator: PUT %s at %s -> %d %s", body, core.name, answer.StatusCode, bytes.TrimSpace(text))
	return answer.StatusCode, nil
}

// put sends a manifest until it is acknowledged or refused.
func (cluster *cluster) put(sent object, limit time.Duration) error {
	body, err := json.Marshal(sent)
	if err != nil {
		return err
	}
	for began := time.Now(); time.Since(began) < limit && cluster.run.ctx.Err() == nil; {
		for _, core := range cluster.cores {
			status, err := cluster.putOnce(core, body)
			switch {
			case err == nil && status == http.StatusOK:
				return nil
			case err == nil && status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
				return fmt.Errorf("the manifest was refused with %d", status)
			}
			sleep(cluster.run, 200*time.Millisecond)
		}
	}
	return errors.New("the manifest was not acknowledged in time")
}

// get reads the newest manifest from one core machine.
func (cluster *cluster) get(core *machine) (int, []byte, error) {
	answer, err := controlClient.Get("http://" + core.address(cluster.ports.control) + "/magnoliawall/config")
	if err != nil {
		return 0, nil, err
	}
	text, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	cluster.run.note("operator: GET at %s -> %d %s", core.name, answer.StatusCode, bytes.TrimSpace(text))
	return answer.StatusCode, text, err
}
