package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// repeats is how often a requester sends a request more, at once.
const repeats = 3

// runRepeat lets requesters repeat an idempotent request at once, each time with an id of its
// own. The requests carry the Idempotency-Key of their operation, as other headers are also
// forwarded.
func runRepeat(world *world) ([]string, error) {
	if err := world.startInstances(nil); err != nil {
		return nil, err
	}
	if err := world.begin([]string{"quota"}); err != nil {
		return nil, err
	}
	var broken []string
	for round := range 10 {
		sent := outgoing{method: http.MethodPost, host: hostOf("quota"), path: "/read/300ms", body: "the same operation", limit: 4 * time.Second, headers: map[string]string{"Idempotency-Key": fmt.Sprintf("operation-%d", round)}}
		for _, got := range world.sendRepeated(sent) {
			if answered := got.header.Get(headerRequestID); got.err == nil && got.status == http.StatusOK && answered != got.id {
				broken = append(broken, fmt.Sprintf("MIXED: request %s got the answer of request %s", got.id, answered))
			}
		}
	}
	return broken, nil
}

// sendRepeated sends a request, and with the disruption also its repeats at once.
func (world *world) sendRepeated(sent outgoing) []answer {
	count := 1
	if world.trouble {
		count += repeats
	}
	answers := make([]answer, count)
	sending := sync.WaitGroup{}
	for index := range count {
		sending.Go(func() {
			answers[index] = send(context.Background(), world.record, world.sidecar("quota", "salto"), sent)
		})
	}
	sending.Wait()
	return answers
}
