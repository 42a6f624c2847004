package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// object is a JSON object.
type object = map[string]any

// newManifest returns a manifest with one idempotent and one non-idempotent route for each
// service, and with the limits of the pages' examples.
func newManifest(version, base int, services []string) object {
	routes, described := object{}, object{}
	for _, service := range services {
		described[service] = object{"health-path": "/health", "max-connections": 616, "protocol": "h1", "tls": false}
		routes["read-"+service] = newRoute(service, "/read/", "idempotent")
		routes["write-"+service] = newRoute(service, "/write/", "non_idempotent")
	}
	manifest := object{
		"version": fmt.Sprintf("r%d", version), "routes": routes, "services": described,
		"limits":       object{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15},
		"base-version": fmt.Sprintf("r%d", base),
	}
	if base == 0 {
		manifest["base-version"] = 0
	}
	return manifest
}

func hostOf(service string) string { return service + ".example" }

func newRoute(service, prefix, kind string) object {
	return object{
		"host": hostOf(service), "path-prefix": prefix, "kind": kind, "timeout-s": 6, "target-latency-s": 1.5,
		"priority": 1, "service": service, "max-attempts": 2,
	}
}

// put sends a manifest to the core machines in turn, unchanged, until there is a clear
// response, and returns its status.
func (cluster *cluster) put(manifest object) (int, error) {
	body, err := json.Marshal(manifest)
	if err != nil {
		return 0, err
	}
	deadline := time.Now().Add(20 * time.Second)
	first := rand.IntN(len(cluster.cores))
	for attempt := 0; time.Now().Before(deadline); attempt++ {
		core := cluster.cores[(first+attempt)%len(cluster.cores)]
		status, text, err := call(http.MethodPut, core, body)
		if err == nil && status < http.StatusInternalServerError && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout {
			cluster.record.add("operator: PUT of manifest %v on top of %v to %s: %d %s", manifest["version"], manifest["base-version"], core.name, status, bytes.TrimSpace(text))
			return status, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0, fmt.Errorf("manifest %v got no clear response", manifest["version"])
}

// read reads the manifest from the core machines in turn until one answers with 200.
func (cluster *cluster) read() (object, error) {
	deadline := time.Now().Add(10 * time.Second)
	first := rand.IntN(len(cluster.cores))
	for attempt := 0; time.Now().Before(deadline); attempt++ {
		core := cluster.cores[(first+attempt)%len(cluster.cores)]
		status, text, err := call(http.MethodGet, core, nil)
		if err == nil && status == http.StatusOK {
			found := object{}
			err := json.Unmarshal(text, &found)
			cluster.record.add("operator: GET of the manifest from %s: %v", core.name, found["version"])
			return found, err
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, fmt.Errorf("the manifest could not be read")
}

func call(method string, core *machine, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+core.address(portControl)+"/magnoliawall/config", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, text, err
}
