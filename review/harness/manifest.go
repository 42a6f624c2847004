package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"time"
)

// changedTimeouts are the time-outs to which a route is changed, one after the other.
var changedTimeouts = []float64{4.1, 8.2, 1.14}

// invalidAims are pairs of a timeout-s and a target-latency-s that is a minute above it.
var invalidAims = [][2]float64{{5, 65}, {4.6, 64.6}, {5.1, 65.1}, {5.6, 65.6}}

// manifestWriter is an operator that changes one route of a manifest.
type manifestWriter struct {
	world *world
	// accepted is the version of the newest manifest that was acknowledged, and version that
	// of the last one that was sent.
	accepted, version int
}

// change sends a manifest in which a route has a time-out and an aim, and returns the
// manifest and the status of the response.
func (writer *manifestWriter) change(timeout, aim float64) (object, int, error) {
	writer.version++
	manifest := newManifest(writer.version, writer.accepted, []string{"quota"})
	route := manifest["routes"].(object)["read-quota"].(object)
	route["timeout-s"], route["target-latency-s"] = timeout, aim
	status, err := writer.world.put(manifest)
	if status == http.StatusOK {
		writer.accepted = writer.version
	}
	return manifest, status, err
}

// runManifest changes the time-out of a route and reads the manifest back, and sends
// manifests in which the target-latency-s of a route is a minute above its timeout-s.
func runManifest(world *world) ([]string, error) {
	if err := world.startInstances(nil); err != nil {
		return nil, err
	}
	if err := world.begin([]string{"quota"}); err != nil {
		return nil, err
	}
	writer := &manifestWriter{world: world, accepted: 1, version: 1}
	changed, err := writer.changeTimeouts()
	if err != nil {
		return nil, err
	}
	invalid, err := writer.sendInvalid()
	return append(changed, invalid...), err
}

// changeTimeouts returns what differs when the manifests are read back.
func (writer *manifestWriter) changeTimeouts() ([]string, error) {
	var broken []string
	for _, timeout := range changedTimeouts {
		if !writer.world.trouble {
			timeout = 6
		}
		manifest, status, err := writer.change(timeout, 1.5)
		if err != nil || status != http.StatusOK {
			return nil, fmt.Errorf("a valid change was answered with %d: %w", status, err)
		}
		time.Sleep(configApply)
		found, err := writer.world.read()
		if err != nil {
			return nil, err
		}
		if reflect.DeepEqual(decoded(manifest), found) {
			continue
		}
		readBack := found["routes"].(object)["read-quota"].(object)["timeout-s"]
		broken = append(broken, fmt.Sprintf("CONFIG: manifest %v was sent with timeout-s %v and acknowledged, and is read back with timeout-s %v", manifest["version"], timeout, readBack))
	}
	return broken, nil
}

// decoded returns a manifest as it is decoded from JSON.
func decoded(manifest object) object {
	text, err := json.Marshal(manifest)
	if err != nil {
		return nil
	}
	result := object{}
	if json.Unmarshal(text, &result) != nil {
		return nil
	}
	return result
}

// sendInvalid returns the invalid manifests that were acknowledged.
func (writer *manifestWriter) sendInvalid() ([]string, error) {
	if !writer.world.trouble {
		return nil, nil
	}
	var broken []string
	for _, aim := range invalidAims {
		manifest, status, err := writer.change(aim[0], aim[1])
		if err != nil {
			return nil, err
		}
		if status == http.StatusOK {
			broken = append(broken, fmt.Sprintf("CONFIG: the invalid manifest %v with timeout-s %v and target-latency-s %v was acknowledged", manifest["version"], aim[0], aim[1]))
		}
	}
	return broken, nil
}
