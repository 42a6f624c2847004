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
	requestTimeout = 4 * time.Second
	// maxSendAttempts is how many times a change without a clear outcome is sent.
	maxSendAttempts = 5
	// firstDeadlineMS is the deadline that the first change sets. Each further change
	// sets one that is a millisecond longer, so that the deadline identifies the change.
	firstDeadlineMS = 1000
)

// change is one configuration change that was sent.
type change struct {
	// DeadlineMS is the deadline that the change sets.
	DeadlineMS int
	// AcknowledgedVersion is the version that the change was acknowledged with, or
	// zero.
	AcknowledgedVersion int
}

// changeSender sends configuration changes as operators do, some of them two at a
// time on one base version, and records which were acknowledged. It implements the
// operators' protocol independently of the packages under test.
type changeSender struct {
	adminAddresses []string
	random         *rand.Rand
	client         *http.Client

	lock    sync.Mutex
	changes []change
}

func newChangeSender(adminAddresses []string, seed uint64) *changeSender {
	return &changeSender{adminAddresses: adminAddresses, random: rand.New(rand.NewPCG(seed, 23)), client: &http.Client{Timeout: requestTimeout}}
}

// run sends changes until the context ends.
func (sender *changeSender) run(ctx context.Context) {
	for number := 0; wait.For(ctx, changeInterval); number += 2 {
		base, err := sender.currentVersion(ctx)
		if err != nil {
			continue
		}
		sending := sync.WaitGroup{}
		for index := range 1 + sender.random.IntN(2) {
			order := sender.random.Perm(len(sender.adminAddresses))
			sending.Go(func() { sender.sendChange(ctx, order, base, firstDeadlineMS+number+index) })
		}
		sending.Wait()
	}
}

type status struct {
	Version int `json:"version"`
}

func (sender *changeSender) currentVersion(ctx context.Context) (int, error) {
	var answer status
	var err error
	for range maxSendAttempts {
		if answer, err = post[status](ctx, sender.client, sender.adminAddresses[sender.random.IntN(len(sender.adminAddresses))], "view-status", struct{}{}); err == nil {
			return answer.Version, nil
		}
	}
	return 0, err
}

// sendChange sends one change until its outcome is clear or the attempts are used
// up. A resend has the same id and may go to another host.
func (sender *changeSender) sendChange(ctx context.Context, order []int, base, deadline int) {
	patch := map[string]any{
		"id": uuid.NewString(), "base": base, "operator": "soak", "note": "set a deadline",
		"operations": json.RawMessage(fmt.Sprintf(`[{"op":"replace","path":"/services/agenda/kinds/day/deadline","value":"%dms"}]`, deadline)),
	}
	for attempt := range maxSendAttempts {
		outcome, err := post[struct {
			State   string `json:"state"`
			Version int    `json:"version"`
		}](ctx, sender.client, sender.adminAddresses[order[attempt%len(order)]], "create-patch", patch)
		if err != nil {
			continue
		}
		sent := change{DeadlineMS: deadline}
		if outcome.State == "accepted" {
			sent.AcknowledgedVersion = outcome.Version
		}
		sender.lock.Lock()
		sender.changes = append(sender.changes, sent)
		sender.lock.Unlock()
		return
	}
}

// post sends one request of an operator. A status other than 200 is an error.
func post[Answer any](ctx context.Context, client *http.Client, admin, verb string, message any) (Answer, error) {
	var answer Answer
	body, err := json.Marshal(message)
	if err != nil {
		return answer, err
	}
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+admin+"/v1/"+verb, bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	response, err := client.Do(outgoing)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return answer, err
	}
	if response.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("%s: status %d: %s", verb, response.StatusCode, content)
	}
	return answer, json.Unmarshal(content, &answer)
}
