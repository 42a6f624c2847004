package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/magnoliawall/magnoliawall/internal/wait"
)

const (
	changeInterval = 1200 * time.Millisecond
	askTimeout     = 4 * time.Second
	// resends is how often an operator sends a change that got no clear answer.
	resends = 5
	// leastDeadline is the first deadline that an operator sets; each further
	// change sets one that is a millisecond longer, so that each is its own.
	leastDeadline = 1000
)

// change is one change that an operator sent.
type change struct {
	// Deadline is what the change sets, in milliseconds.
	Deadline int
	// Version is the number under which it was acknowledged, or zero.
	Version int
}

// operators sends changes, some of them two at a time on one version, and keeps
// what was acknowledged. It speaks the operators' protocol by itself.
type operators struct {
	admins []string
	random *rand.Rand
	client *http.Client

	lock    sync.Mutex
	changes []change
}

func newOperators(admins []string, seed uint64) *operators {
	return &operators{admins: admins, random: rand.New(rand.NewPCG(seed, 23)), client: &http.Client{Timeout: askTimeout}}
}

// run sends changes until the context ends.
func (op *operators) run(ctx context.Context) {
	for number := 0; wait.For(ctx, changeInterval); number += 2 {
		base, err := op.version(ctx)
		if err != nil {
			continue
		}
		sending := sync.WaitGroup{}
		for index := range 1 + op.random.IntN(2) {
			order := op.random.Perm(len(op.admins))
			sending.Go(func() { op.send(ctx, order, base, leastDeadline+number+index) })
		}
		sending.Wait()
	}
}

type status struct {
	Version int `json:"version"`
}

func (op *operators) version(ctx context.Context) (int, error) {
	var told status
	var err error
	for range resends {
		if told, err = ask[status](ctx, op.client, op.admins[op.random.IntN(len(op.admins))], "view-status", struct{}{}); err == nil {
			return told.Version, nil
		}
	}
	return 0, err
}

// send sends one change until its outcome is clear or the tries are over. A
// resend has the same id, and may go to another host.
func (op *operators) send(ctx context.Context, order []int, base, deadline int) {
	patch := map[string]any{
		"id": uuid.NewString(), "base": base, "operator": "soak", "note": "set a deadline",
		"operations": json.RawMessage(fmt.Sprintf(`[{"op":"replace","path":"/services/agenda/kinds/day/deadline","value":"%dms"}]`, deadline)),
	}
	for attempt := range resends {
		outcome, err := ask[struct {
			State   string `json:"state"`
			Version int    `json:"version"`
		}](ctx, op.client, op.admins[order[attempt%len(order)]], "create-patch", patch)
		if err != nil {
			continue
		}
		sent := change{Deadline: deadline}
		if outcome.State == "accepted" {
			sent.Version = outcome.Version
		}
		op.lock.Lock()
		op.changes = append(op.changes, sent)
		op.lock.Unlock()
		return
	}
}

// ask sends one request of an operator. An answer other than 200 is an error.
func ask[Answer any](ctx context.Context, client *http.Client, admin, verb string, message any) (Answer, error) {
	var told Answer
	body, err := json.Marshal(message)
	if err != nil {
		return told, err
	}
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+admin+"/v1/"+verb, bytes.NewReader(body))
	if err != nil {
		return told, err
	}
	response, err := client.Do(outgoing)
	if err != nil {
		return told, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return told, err
	}
	if response.StatusCode != http.StatusOK {
		return told, fmt.Errorf("%s was answered %d: %s", verb, response.StatusCode, content)
	}
	return told, json.Unmarshal(content, &told)
}
