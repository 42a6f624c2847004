package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/wait"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/load"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/target"
)

// The customers of a run: one for the callers, one that sends three times its quota, and
// one whose key is withdrawn before the load begins.
const (
	callersCustomer = "callers"
	floodCustomer   = "flood"
	callersKey      = "key-of-callers"
	floodKey        = "key-of-flood"
	withdrawnKey    = "key-of-former"

	quotaRate     = 20
	quotaBurst    = 20
	floodInterval = time.Second / (3 * quotaRate)
	// In any quotaWindow the customer's quota may be exceeded by quotaOvershoot of it and
	// quotaSlack requests.
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
	setupTimeout   = 30 * time.Second
)

var customerPatches = []string{
	fmt.Sprintf(`[{"op":"add","path":"/customers","value":{%q:{"keys":[%q]},%q:{"keys":[%q],"rate":%d,"burst":%d},"former":{"keys":[%q]}}}]`,
		callersCustomer, callersKey, floodCustomer, floodKey, quotaRate, quotaBurst, withdrawnKey),
	`[{"op":"remove","path":"/customers/former"}]`,
}

// setCustomers adds the customers and waits until every host has them in force.
func (execution *execution) setCustomers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	for _, operations := range customerPatches {
		if err := execution.sender.applyPatch(ctx, operations); err != nil {
			return err
		}
	}
	newest, err := execution.sender.currentVersion(ctx)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: pollInterval}
	for _, host := range execution.processes.Hosts() {
		for version := 0; version < newest; version, _ = readGauge(client, host.Admin, "magnoliawall_configuration_version") {
			if !wait.For(ctx, pollInterval/10) {
				return fmt.Errorf("%s does not have version %d in force", host.Node, newest)
			}
		}
	}
	return nil
}

// applyPatch sends a patch on the newest version until one is accepted.
func (sender *changeSender) applyPatch(ctx context.Context, operations string) error {
	for wait.For(ctx, pollInterval/10) {
		base, err := sender.currentVersion(ctx)
		if err != nil {
			continue
		}
		outcome, err := post[struct {
			State string `json:"state"`
		}](ctx, sender.client, sender.adminAddresses[0], "create-patch", map[string]any{
			"id": uuid.NewString(), "base": base, "operator": "soak", "note": "set customers", "operations": json.RawMessage(operations),
		})
		if err == nil && outcome.State == "accepted" {
			return nil
		}
	}
	return fmt.Errorf("the customers were not accepted: %w", ctx.Err())
}

// flood sends calls of a customer far over its quota, and some with a withdrawn key.
type flood struct {
	kind    load.Kind
	callers []*load.Caller

	lock sync.Mutex
	// sentAt holds when each call of the customer with the quota was sent.
	sentAt map[target.AttemptName]time.Time
	// admittedWithdrawn counts the calls with the withdrawn key that were served.
	admittedWithdrawn int
}

func newFlood(kinds []load.Kind, callers []*load.Caller) *flood {
	sending := &flood{sentAt: make(map[target.AttemptName]time.Time)}
	for _, kind := range kinds {
		if kind.Repeat == request.Repeatable && kind.BodyBytes == 0 {
			sending.kind = kind
			break
		}
	}
	for _, caller := range callers {
		flooding := &load.Caller{EntryAddress: caller.EntryAddress, Dial: caller.Dial, CustomerKey: floodKey}
		flooding.Start()
		sending.callers = append(sending.callers, flooding)
	}
	return sending
}

const (
	// withdrawnInterval is how many calls pass between two with the withdrawn key.
	withdrawnInterval = 10
	withdrawnPrefix   = "withdrawn-"
)

// run sends until the context ends, through all hosts in turn.
func (sending *flood) run(ctx context.Context) {
	calls := sync.WaitGroup{}
	defer calls.Wait()
	for number := 0; wait.For(ctx, floodInterval); number++ {
		caller := sending.callers[number%len(sending.callers)]
		if number%withdrawnInterval == 0 {
			calls.Go(func() { sending.sendWithdrawn(ctx, caller, number) })
			continue
		}
		name := target.AttemptName(fmt.Sprintf("%s-%d", floodCustomer, number))
		sending.lock.Lock()
		sending.sentAt[name] = time.Now()
		sending.lock.Unlock()
		calls.Go(func() { caller.Send(ctx, sending.kind, "", name) })
	}
}

func (sending *flood) sendWithdrawn(ctx context.Context, caller *load.Caller, number int) {
	former := &load.Caller{EntryAddress: caller.EntryAddress, Dial: caller.Dial, CustomerKey: withdrawnKey}
	former.Start()
	defer former.Close()
	reply := former.Send(ctx, sending.kind, "", target.AttemptName(fmt.Sprintf("%s%d", withdrawnPrefix, number)))
	if reply.Result == load.ResultWhole {
		sending.lock.Lock()
		sending.admittedWithdrawn++
		sending.lock.Unlock()
	}
}

// logsWithKeys returns the logs of processes in a folder that have a customer's key.
func logsWithKeys(folder string) ([]string, error) {
	logs, err := filepath.Glob(filepath.Join(folder, "*", "log"))
	if err != nil {
		return nil, err
	}
	var found []string
	for _, name := range logs {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		for _, key := range []string{callersKey, floodKey, withdrawnKey} {
			if bytes.Contains(text, []byte(key)) {
				found = append(found, name)
				break
			}
		}
	}
	return found, nil
}

// checkKeys checks that no call with a withdrawn key was served, and that no process wrote a
// key to its log.
func (observed observations) checkKeys() []string {
	var broken []string
	if observed.admittedWithdrawn > 0 {
		broken = append(broken, fmt.Sprintf("keys: %d calls with a withdrawn key were served", observed.admittedWithdrawn))
	}
	for _, name := range observed.logsWithKeys {
		broken = append(broken, "keys: a customer's key is in "+name)
	}
	return broken
}

// checkNames checks what customer targets were told, and that none got a key.
func (observed observations) checkNames() []string {
	var broken []string
	for _, arrival := range observed.records.CustomerArrivals() {
		expected := request.CustomerName(callersCustomer)
		if _, flooding := observed.floodSentAt[arrival.Attempt]; flooding {
			expected = floodCustomer
		}
		switch {
		case arrival.HasKey:
			broken = append(broken, fmt.Sprintf("names: a target got the key of %s", arrival.Attempt))
		case arrival.Customer != expected && arrival.Customer != "":
			broken = append(broken, fmt.Sprintf("names: a target was told that %s is for %s", arrival.Attempt, arrival.Customer))
		}
	}
	return broken
}

// checkQuota checks that in no window more requests of the customer were both sent and
// arrived at a target than its quota allows.
func (observed observations) checkQuota() []string {
	first := make(map[target.AttemptName]time.Time)
	for _, arrival := range observed.records.CustomerArrivals() {
		if _, flooding := observed.floodSentAt[arrival.Attempt]; !flooding {
			continue
		}
		if known, ok := first[arrival.Attempt]; !ok || arrival.At.Before(known) {
			first[arrival.Attempt] = arrival.At
		}
	}
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOvershoot) + quotaSlack
	most := 0
	for begin := range first {
		within := 0
		for attempt, arrivedAt := range first {
			if !observed.floodSentAt[attempt].Before(observed.floodSentAt[begin]) && arrivedAt.Sub(observed.floodSentAt[begin]) <= quotaWindow {
				within++
			}
		}
		most = max(most, within)
	}
	if float64(most) <= allowed {
		return nil
	}
	return []string{fmt.Sprintf("quota: %d requests of one customer ran in %s, allowed %g", most, quotaWindow, allowed)}
}
