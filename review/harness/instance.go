package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// statusReportInterval is the interval of the status reports of an instance.
const statusReportInterval = 1500 * time.Millisecond

const (
	headerRequestID = "X-Magnoliawall-Request-Id"
	headerDeadline  = "X-Magnoliawall-Deadline-Ms"
	headerInstance  = "X-Magnoliawall-Target-Instance"
	headerCaller    = "X-Magnoliawall-Caller-Service"
	headerSignature = "X-Magnoliawall-Response-Signature"
)

// instance is a stand-in for one application instance. It works on a request for as long
// as its work function takes, and drops it when its connection closes.
type instance struct {
	record  *record
	machine *machine
	id      string
	slots   int
	born    time.Time
	// work is the work on a request. It returns the status and the body of the answer.
	work func(ctx context.Context, incoming *http.Request) (int, string)

	lock     sync.Mutex
	state    string
	sequence int
	runs     int
	server   *http.Server
	stop     context.CancelFunc
	running  sync.WaitGroup
}

// start serves at the application address and begins to report the status.
func (instance *instance) start() error {
	listener, err := net.Listen("tcp", instance.machine.address(portApplication))
	if err != nil {
		return err
	}
	instance.born, instance.state = time.Now(), "ready"
	instance.server = &http.Server{Handler: instance, IdleTimeout: 10 * time.Second}
	go func() { _ = instance.server.Serve(listener) }()
	ctx, stop := context.WithCancel(context.Background())
	instance.stop = stop
	instance.running.Go(func() { instance.reportStatus(ctx) })
	return nil
}

// end ends the instance.
func (instance *instance) end() {
	instance.stop()
	instance.running.Wait()
	_ = instance.server.Close()
}

func (instance *instance) reportStatus(ctx context.Context) {
	ticker := time.NewTicker(statusReportInterval)
	defer ticker.Stop()
	for {
		instance.report(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// report sends one status report and tells whether it was acknowledged.
func (instance *instance) report(ctx context.Context) bool {
	instance.lock.Lock()
	instance.sequence++
	body := map[string]any{
		"service": instance.machine.service, "address": instance.machine.address(portApplication), "zone": instance.machine.zone,
		"version": "v1", "slots": instance.slots, "state": instance.state, "cold-remaining-s": 0,
		"seq": instance.sequence, "born": instance.born.UnixMilli(),
	}
	instance.lock.Unlock()
	status, _ := sendStatusReport(ctx, instance.machine, instance.id, body)
	return status == http.StatusOK
}

// sendStatusReport sends a status report to the process on a machine.
func sendStatusReport(ctx context.Context, machine *machine, id string, body map[string]any) (int, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+machine.address(portControl)+"/magnoliawall/instances/"+id, bytes.NewReader(text))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}

// ServeHTTP serves health probes and requests.
func (instance *instance) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	writer.Header().Set("X-Magnoliawall-Instance-Id", instance.id)
	if incoming.URL.Path == "/health" {
		return
	}
	id := incoming.Header.Get(headerRequestID)
	writer.Header().Set(headerRequestID, id)
	if wanted := incoming.Header.Get(headerInstance); wanted != "" && wanted != instance.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		writer.Header().Set("X-Magnoliawall-Not-Executed", "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	sent, err := io.ReadAll(incoming.Body)
	if err != nil {
		return
	}
	instance.lock.Lock()
	instance.runs++
	run := instance.runs
	instance.lock.Unlock()
	instance.record.add("run: id %s at instance %s of %s begins, run %d, caller service %q, %d bytes, time limit %s ms",
		id, instance.id, instance.machine.service, run, incoming.Header.Get(headerCaller), len(sent), incoming.Header.Get(headerDeadline))
	status, body := instance.work(incoming.Context(), incoming)
	if incoming.Context().Err() != nil {
		instance.record.add("run: id %s at instance %s: its connection was closed while the instance was at work", id, instance.id)
		return
	}
	instance.record.add("run: id %s at instance %s ends with %d", id, instance.id, status)
	writer.Header().Set(headerSignature, fmt.Sprintf("%s.%s.%d", instance.id, id, run))
	writer.Header().Set("Keep-Alive", "timeout=10")
	writer.WriteHeader(status)
	_, _ = io.WriteString(writer, body)
}

// sleep works for a time, or until the request is dropped.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
