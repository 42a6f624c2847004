package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerID       = "X-Magnoliawall-Request-Id"
	headerDeadline = "X-Magnoliawall-Deadline-Ms"
	headerTarget   = "X-Magnoliawall-Target-Instance"
	headerProof    = "X-Magnoliawall-Response-Signature"
	headerInstance = "X-Magnoliawall-Instance-Id"
	headerCaller   = "X-Magnoliawall-Caller-Service"

	beatInterval = 1500 * time.Millisecond
	healthPath   = "/health"
)

// arrival is one request that an instance has begun to work on.
type arrival struct {
	id, method, path, caller string
	at                       time.Time
}

// instance is a stand-in server: an instance of a service on a sidecar machine.
type instance struct {
	run     *caseRun
	id      string
	machine *machine
	ports   ports
	bornAt  int64
	// work is how long it works on each request, slots how many it works on at once.
	work  time.Duration
	slots int

	sequence atomic.Int64
	leaving  atomic.Bool
	draining atomic.Bool
	silent   atomic.Bool
	server   *http.Server

	lock     sync.Mutex
	arrivals []arrival
}

func (cluster *cluster) newInstance(at *machine, id string, work time.Duration) *instance {
	return &instance{run: cluster.run, id: id, machine: at, ports: cluster.ports, bornAt: time.Now().UnixMilli(), work: work, slots: 86}
}

// start listens and sends status reports.
func (instance *instance) start() error {
	listener, err := net.Listen("tcp", instance.machine.address(instance.ports.application))
	if err != nil {
		return err
	}
	instance.server = &http.Server{Handler: http.HandlerFunc(instance.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = instance.server.Serve(listener) }()
	go instance.beat()
	return nil
}

// crash ends the instance without a word.
func (instance *instance) crash() {
	instance.silent.Store(true)
	_ = instance.server.Close()
}

func (instance *instance) serve(writer http.ResponseWriter, incoming *http.Request) {
	writer.Header().Set("Keep-Alive", "timeout=10")
	if incoming.URL.Path == healthPath && incoming.Header.Get(headerID) == "" {
		writer.Header().Set(headerInstance, instance.id)
		if instance.leaving.Load() || instance.draining.Load() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
		instance.run.note("instance %s: health probe, leaving %v", instance.id, instance.leaving.Load() || instance.draining.Load())
		return
	}
	id := incoming.Header.Get(headerID)
	writer.Header().Set(headerID, id)
	if expected := incoming.Header.Get(headerTarget); expected != "" && expected != instance.id {
		writer.Header().Set(headerInstance, instance.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		instance.run.note("instance %s: 421 to %s, which is meant for %s", instance.id, id, expected)
		return
	}
	_, _ = io.Copy(io.Discard, incoming.Body)
	instance.lock.Lock()
	instance.arrivals = append(instance.arrivals, arrival{id, incoming.Method, incoming.URL.Path, incoming.Header.Get(headerCaller), time.Now()})
	instance.lock.Unlock()
	instance.run.note("instance %s: runs %s %s %s", instance.id, id, incoming.Method, incoming.URL.Path)
	timer := time.NewTimer(instance.work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-incoming.Context().Done():
		instance.run.note("instance %s: the connection of %s was closed while it worked on it", instance.id, id)
		return
	}
	writer.Header().Set(headerProof, "proof."+instance.id+"."+id)
	_, _ = io.WriteString(writer, "answer of "+instance.id+" to "+id+"\n")
}

func (instance *instance) all() []arrival {
	instance.lock.Lock()
	defer instance.lock.Unlock()
	return append([]arrival{}, instance.arrivals...)
}

func (instance *instance) report(state string) []byte {
	body, _ := json.Marshal(map[string]any{
		"service": instance.machine.service, "address": instance.machine.address(instance.ports.application), "zone": instance.machine.zone,
		"version": "v1", "slots": instance.slots, "state": state, "cold-remaining-s": 0, "seq": instance.sequence.Add(1), "born": instance.bornAt,
	})
	return body
}

func (instance *instance) controlURL() string {
	return fmt.Sprintf("http://%s/magnoliawall/instances/%s", instance.machine.address(instance.ports.control), instance.id)
}

var controlClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// send sends a call about the instance to its node and reports whether it was acknowledged.
func (instance *instance) send(method string, body []byte) bool {
	call, err := http.NewRequest(method, instance.controlURL(), bytes.NewReader(body))
	if err != nil {
		return false
	}
	call.Header.Set("Content-Type", "application/json")
	answer, err := controlClient.Do(call)
	if err != nil {
		instance.run.note("instance %s: %s %s -> %v", instance.id, method, body, err)
		return false
	}
	text, _ := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	instance.run.note("instance %s: %s %s -> %d %s", instance.id, method, body, answer.StatusCode, strings.TrimSpace(string(text)))
	return answer.StatusCode/100 == 2
}

func (instance *instance) beat() {
	for !instance.silent.Load() && instance.run.ctx.Err() == nil {
		state := "ready"
		if instance.draining.Load() {
			state = "draining"
		}
		if !instance.send(http.MethodPut, instance.report(state)) {
			sleep(instance.run, 200*time.Millisecond)
			continue
		}
		sleep(instance.run, beatInterval)
	}
}
