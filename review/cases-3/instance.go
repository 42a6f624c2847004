package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// instance is a stand-in for the application beside a sidecar.
type instance struct {
	id      string
	born    int64
	cluster *cluster
	host    *host
	server  *http.Server
	work    func(writer http.ResponseWriter, incoming *http.Request, body []byte)
	done    chan struct{}
	closing sync.Once

	lock     sync.Mutex
	runs     []run
	arrivals []arrival
}

// arrival is a request whose head has reached an instance.
type arrival struct {
	id string
	at time.Time
}

// run is a request that an instance began to work on.
type run struct {
	id, method, path string
	header           http.Header
	at               time.Time
}

const defaultSlots = 62

func (cluster *cluster) startInstance(host *host) error {
	listener, err := net.Listen("tcp", cluster.at(host, cluster.ports.app))
	if err != nil {
		return err
	}
	made := &instance{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now().UnixMilli(),
		cluster: cluster, host: host, done: make(chan struct{}),
	}
	made.server = &http.Server{Handler: made, IdleTimeout: 10 * time.Second}
	host.instance = made
	if host.serve != nil {
		go host.serve(made, listener)
	} else {
		go func() { _ = made.server.Serve(listener) }()
	}
	go made.beat()
	return nil
}

func (instance *instance) close() {
	instance.closing.Do(func() {
		close(instance.done)
		_ = instance.server.Close()
	})
}

// beat sends the status reports.
func (instance *instance) beat() {
	for sequence := 1; ; sequence++ {
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold-remaining-s":0,"seq":%d,"born":%d}`,
			instance.host.service, instance.cluster.at(instance.host, instance.cluster.ports.app), instance.host.zone, instance.cluster.slots, sequence, instance.born)
		request, err := http.NewRequest(http.MethodPut, "http://"+instance.cluster.at(instance.host, instance.cluster.ports.control)+"/magnoliawall/instances/"+instance.id, bytes.NewReader([]byte(body)))
		if err != nil {
			panic(err)
		}
		request.Header.Set("Content-Type", "application/json")
		wait := 200 * time.Millisecond
		if response, err := (&http.Client{Timeout: time.Second}).Do(request); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == 200 {
				wait = 1500 * time.Millisecond
			}
		}
		select {
		case <-time.After(wait):
		case <-instance.done:
			return
		}
	}
}

// ServeHTTP answers as the pages describe it.
func (instance *instance) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	headers := writer.Header()
	if incoming.URL.Path == "/health" {
		headers.Set("X-Magnoliawall-Instance-Id", instance.id)
		return
	}
	if wanted := incoming.Header.Get("X-Magnoliawall-Target-Instance"); wanted != "" && wanted != instance.id {
		headers.Set("X-Magnoliawall-Instance-Id", instance.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := incoming.Header.Get("X-Magnoliawall-Request-Id")
	if id == "" {
		headers.Set("X-Magnoliawall-Not-Executed", "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	instance.lock.Lock()
	instance.arrivals = append(instance.arrivals, arrival{id: id, at: time.Now()})
	instance.lock.Unlock()
	instance.cluster.record.add("request %s reaches %s", id, instance.id)
	body, err := io.ReadAll(incoming.Body)
	if err != nil {
		instance.cluster.record.add("the body of request %s ends early at %s", id, instance.id)
		return
	}
	instance.lock.Lock()
	instance.runs = append(instance.runs, run{id: id, method: incoming.Method, path: incoming.URL.Path, header: incoming.Header.Clone(), at: time.Now()})
	instance.lock.Unlock()
	instance.cluster.record.add("%s at %s runs request %s: %s %s, caller %s", instance.id, instance.host.name, id, incoming.Method, incoming.RequestURI, incoming.Header.Get("X-Magnoliawall-Caller-Service"))
	headers.Set("X-Magnoliawall-Request-Id", id)
	headers.Set("X-Magnoliawall-Response-Signature", instance.id+"."+id)
	if instance.work != nil {
		instance.work(writer, incoming, body)
		return
	}
	text := "served " + id + "\n"
	headers.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(writer, text)
}

func (instance *instance) runCount() int {
	instance.lock.Lock()
	defer instance.lock.Unlock()
	return len(instance.runs)
}
