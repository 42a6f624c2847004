package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { plays["frozen-peer"] = frozenPeer }

const (
	// visitRate and grantRate are those of visit-plan and subsidy-grant, which go to agenda.
	visitRate      = 173
	grantRate      = 58
	visitTimeout   = 800 * time.Millisecond
	answerSlack    = 500 * time.Millisecond
	freezeTime     = 3500 * time.Millisecond
	timeBefore     = 6 * time.Second
	timeAfter      = 6 * time.Second
	visitWork      = 90 * time.Millisecond
	settlementTime = 4 * time.Second
)

// frozenPeer freezes the machine of the only instance of a service, while requesters at
// another machine, which is in touch, send requests to it. These have to be answered at the
// timeout of their route, in whatever way. Without the disruption nothing is frozen.
func frozenPeer(record *record, trouble bool) (bool, error) {
	// One machine of ten is frozen.
	services := append([]string{"agenda"}, slices.Repeat([]string{"subsidios"}, 9)...)
	cluster, err := newCluster(record, 3, services...)
	if err != nil {
		return false, err
	}
	defer cluster.close()
	if err := cluster.startAll(); err != nil {
		return false, err
	}
	target, from := cluster.sidecars()[0], cluster.sidecars()[1]
	target.instance.work = func(writer http.ResponseWriter, _ *http.Request, _ []byte) {
		time.Sleep(visitWork)
		text := "visit plan\n"
		writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(writer, text)
	}
	visit := route("agenda.example", "/visit/", "idempotent", "agenda")
	visit["timeout-s"], visit["target-latency-s"] = visitTimeout.Seconds(), 1.2
	grant := route("agenda.example", "/grant/", "non_idempotent", "agenda")
	grant["timeout-s"], grant["target-latency-s"], grant["priority"] = visitTimeout.Seconds(), 1.5, 0
	if err := cluster.mustPut(manifest(map[string]any{"r-visit": visit, "r-grant": grant}, "agenda", "subsidios")); err != nil {
		return false, err
	}
	if err := cluster.awaitReady(cluster.sidecars()...); err != nil {
		return false, err
	}
	time.Sleep(settlementTime)
	results := make(chan sent, 10000)
	requests := sync.WaitGroup{}
	began, count := time.Now(), 0
	frozen, thawed := false, false
	for ; time.Since(began) < timeBefore+freezeTime+timeAfter; count++ {
		now := time.Since(began)
		if trouble && !frozen && now > timeBefore {
			frozen = true
			record.say("%s is frozen", target.name)
			_ = target.command.Process.Signal(syscall.SIGSTOP)
		}
		if frozen && !thawed && now > timeBefore+freezeTime {
			thawed = true
			_ = target.command.Process.Signal(syscall.SIGCONT)
			record.say("%s goes on", target.name)
		}
		isGrant := count%(visitRate+grantRate) < grantRate
		requests.Go(func() {
			if isGrant {
				results <- cluster.once(from, http.MethodPost, "agenda.example", "/grant/1", []byte("grant"), nil)
				return
			}
			results <- cluster.once(from, http.MethodGet, "agenda.example", "/visit/1", nil, nil)
		})
		time.Sleep(time.Until(began.Add(time.Duration(count+1) * time.Second / (visitRate + grantRate))))
	}
	requests.Wait()
	close(results)
	unanswered, late, longest := 0, 0, time.Duration(0)
	statuses := map[int]int{}
	for result := range results {
		statuses[result.status]++
		longest = max(longest, result.took)
		if result.took > visitTimeout {
			unanswered++
		}
		if result.took > visitTimeout+answerSlack {
			late++
		}
	}
	record.say("%d requests, by status %v; %d had no answer at the timeout of their route, %d of them none %v later; the longest took %v",
		count, statuses, unanswered, late, answerSlack, longest.Round(time.Millisecond))
	if statuses[http.StatusOK] < count/4 {
		return false, fmt.Errorf("only %d of %d requests were served", statuses[http.StatusOK], count)
	}
	record.say("the rule allows 7, or a quarter of them")
	return late >= 8 && 4*late > unanswered, nil
}
