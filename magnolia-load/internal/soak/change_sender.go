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
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/magnoliawall/magnoliawall/internal/wait"
)

const (
	changeInterval = 1200 * time.Millisecond
	requestTimeout = 4 * time.Second
	// In each burstPeriod a burst of changes comes burstInterval apart.
	burstPeriod   = 5 * time.Second
	burstDuration = 1500 * time.Millisecond
	burstInterval = 100 * time.Millisecond
	// attemptTimeout bounds a request of one that waits for an acknowledged change.
	attemptTimeout    = time.Second
	sendBeforeTimeout = 2 * time.Minute
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
	// Base is the version that the change builds on.
	Base int
	// AcknowledgedVersion is the version that the change was acknowledged with, or
	// zero, and AcknowledgedAt when that was.
	AcknowledgedVersion int
	AcknowledgedAt      time.Time
}

// changeSender sends configuration changes as operators do, some of them two at a
// time on one base version, and records which were acknowledged. It implements the
// operators' protocol independently of the packages under test.
type changeSender struct {
	adminAddresses []string
	random         *rand.Rand
	client         *http.Client
	// routes is how many kinds each change sets beside the deadline.
	routes atomic.Int64
	// usualInterval is the time between two changes, and bursts whether there are times with
	// several a second.
	usualInterval time.Duration
	bursts        bool

	lock    sync.Mutex
	changes []change
	// lastDeadlineMS is the deadline of the newest change.
	lastDeadlineMS int
}

func newChangeSender(adminAddresses []string, seed uint64) *changeSender {
	return &changeSender{adminAddresses: adminAddresses, random: rand.New(rand.NewPCG(seed, 23)), client: &http.Client{Timeout: requestTimeout}, usualInterval: changeInterval, lastDeadlineMS: firstDeadlineMS - 1}
}

// run sends changes until the context ends.
func (sender *changeSender) run(ctx context.Context) {
	for startedAt := time.Now(); wait.For(ctx, sender.interval(time.Since(startedAt))); {
		base, err := sender.currentVersion(ctx)
		if err != nil {
			continue
		}
		sending := sync.WaitGroup{}
		for range 1 + sender.random.IntN(2) {
			order := sender.random.Perm(len(sender.adminAddresses))
			sending.Go(func() { sender.sendChange(ctx, order, base) })
		}
		sending.Wait()
	}
}

// interval is the time until the next changes.
func (sender *changeSender) interval(elapsed time.Duration) time.Duration {
	if sender.bursts && elapsed%burstPeriod < burstDuration {
		return burstInterval
	}
	return sender.usualInterval
}

// sendBefore sends changes one after the other until a number of them is accepted.
func (sender *changeSender) sendBefore(ctx context.Context, count int) error {
	ctx, cancel := context.WithTimeout(ctx, sendBeforeTimeout)
	defer cancel()
	for range count {
		if !sender.sendUntilAcknowledged(ctx) {
			return fmt.Errorf("%d changes were not accepted within %s: %w", count, sendBeforeTimeout, ctx.Err())
		}
	}
	return nil
}

// sendUntilAcknowledged sends changes until one is accepted, and reports whether one was
// before the context ended.
func (sender *changeSender) sendUntilAcknowledged(ctx context.Context) bool {
	for first := 0; ctx.Err() == nil; first++ {
		admin := sender.adminAddresses[first%len(sender.adminAddresses)]
		answer, err := postWithin[status](ctx, sender.client, admin, "view-status", struct{}{})
		if err == nil && sender.sendChange(ctx, []int{first % len(sender.adminAddresses)}, answer.Version) {
			return true
		}
	}
	return false
}

// postWithin is post with attemptTimeout.
func postWithin[Answer any](ctx context.Context, client *http.Client, admin, verb string, message any) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return post[Answer](ctx, client, admin, verb, message)
}

// operations sets the deadline that identifies a change, and the further kinds.
func (sender *changeSender) operations(deadline int) (json.RawMessage, error) {
	value := fmt.Sprintf("%dms", deadline)
	operations := []map[string]any{{"op": "replace", "path": "/services/agenda/kinds/day/deadline", "value": value}}
	if routes := sender.routes.Load(); routes > 0 {
		kinds := make(map[string]any)
		for number := range routes {
			kinds[fmt.Sprintf("record-%d", number)] = map[string]any{"method": "GET", "path": fmt.Sprintf("/records-%d/{id}", number), "importance": "visit", "repeat": "repeatable", "deadline": value, "retries": 1}
		}
		operations = append(operations, map[string]any{"op": "add", "path": "/services/archive", "value": map[string]any{"slots": 1, "connections": 1, "kinds": kinds}})
	}
	return json.Marshal(operations)
}

// grow adds to the kinds that changes set, until the context ends.
func (sender *changeSender) grow(ctx context.Context, growths []Growth) {
	startedAt := time.Now()
	for _, growth := range growths {
		if !wait.For(ctx, growth.At-time.Since(startedAt)) {
			return
		}
		sender.routes.Add(int64(growth.Routes))
	}
}

// newestAcknowledged returns the newest version that was acknowledged before a time, or zero.
func (sender *changeSender) newestAcknowledged(before time.Time) int {
	sender.lock.Lock()
	defer sender.lock.Unlock()
	newest := 0
	for _, sent := range sender.changes {
		if sent.AcknowledgedVersion > newest && sent.AcknowledgedAt.Before(before) {
			newest = sent.AcknowledgedVersion
		}
	}
	return newest
}

// nextDeadline returns the deadline of the next change.
func (sender *changeSender) nextDeadline() int {
	sender.lock.Lock()
	defer sender.lock.Unlock()
	sender.lastDeadlineMS++
	return sender.lastDeadlineMS
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
// up. A resend has the same id and may go to another host. It reports whether the change
// was accepted.
func (sender *changeSender) sendChange(ctx context.Context, order []int, base int) bool {
	deadline := sender.nextDeadline()
	operations, err := sender.operations(deadline)
	if err != nil {
		return false
	}
	patch := map[string]any{
		"id": uuid.NewString(), "base": base, "operator": "soak", "note": "set a deadline",
		"operations": operations,
	}
	for attempt := range maxSendAttempts {
		outcome, err := post[struct {
			State   string `json:"state"`
			Version int    `json:"version"`
		}](ctx, sender.client, sender.adminAddresses[order[attempt%len(order)]], "create-patch", patch)
		if err != nil {
			continue
		}
		sent := change{DeadlineMS: deadline, Base: base}
		if outcome.State == "accepted" {
			sent.AcknowledgedVersion, sent.AcknowledgedAt = outcome.Version, time.Now()
		}
		sender.lock.Lock()
		sender.changes = append(sender.changes, sent)
		sender.lock.Unlock()
		return sent.AcknowledgedVersion > 0
	}
	return false
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
