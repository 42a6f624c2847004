package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/wait"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/mesh"
)

// losses lets one loss of several disks happen at a time.
type losses struct {
	lock sync.Mutex
	// lostUntil is when the hosts of the last loss no longer count as lost.
	lostUntil time.Time
	skipped   int
}

// loseDisks makes replicas lose their disks right after a change was acknowledged, and
// starts them again. It waits until the hosts of the loss before it no longer count as
// lost, and does nothing if the fault would then end after the time with faults.
func (execution *execution) loseDisks(ctx context.Context, fault Fault) {
	execution.losses.lock.Lock()
	defer execution.losses.lock.Unlock()
	if !wait.For(ctx, time.Until(execution.losses.lostUntil)+lossMargin) {
		return
	}
	acknowledgeCtx, cancel := context.WithTimeout(ctx, acknowledgementTimeout)
	execution.sender.sendUntilAcknowledged(acknowledgeCtx)
	cancel()
	if time.Since(execution.loadStartedAt) > execution.run.FaultDuration {
		execution.losses.skipped++
		return
	}
	var struck []int
	lost := append([]int{fault.Host}, fault.Others...)
	replicas := execution.replicas()
	for index, host := range execution.processes.Hosts() {
		if fault.Kind == FaultLoseDisksKillAll || slices.Contains(lost, slices.Index(replicas, host)) {
			struck = append(struck, index)
		}
	}
	execution.overlaps.begin(down, struck...)
	striking := sync.WaitGroup{}
	for _, index := range struck {
		host := execution.processes.Hosts()[index]
		execution.recordKill(index)
		striking.Go(func() {
			if !slices.Contains(lost, slices.Index(replicas, host)) {
				host.Kill()
				return
			}
			execution.votes.recordLoss(host, fault.Duration)
			execution.recordError(host.LoseData())
		})
	}
	striking.Wait()
	if fault.Kind == FaultLoseDisksKillAll {
		execution.stateRateLimitsAnew()
	}
	execution.startAfter(ctx, fault.Duration, struck...)
	execution.losses.lostUntil = time.Now().Add(catchUpTimeout)
}

// split holds back all data between the processes in the failure domains of some replicas
// and the others.
func (execution *execution) split(ctx context.Context, fault Fault) {
	hosts, replicas := execution.processes.Hosts(), len(execution.replicas())
	side := func(index int) bool {
		return slices.Contains(append([]int{fault.Host}, fault.Others...), index*replicas/len(hosts))
	}
	for index, host := range hosts {
		for other, peer := range hosts {
			if side(index) != side(other) {
				host.Link.HoldPeer(string(peer.Node))
				defer host.Link.ReleasePeer(string(peer.Node))
			}
		}
	}
	wait.For(ctx, fault.Duration)
}

// Return is the return of a replica that lost its disk.
type Return struct {
	Host   string        `json:"host"`
	LostAt time.Duration `json:"lost-at"`
	// VotedAfter is how long after its return another replica first listed it as a voter,
	// or zero if none did.
	VotedAfter time.Duration `json:"voted-after"`
}

// String returns the return as one line of text.
func (returned Return) String() string {
	if returned.VotedAfter == 0 {
		return fmt.Sprintf("%s lost its disk at %.1fs and did not vote again", returned.Host, returned.LostAt.Seconds())
	}
	return fmt.Sprintf("%s lost its disk at %.1fs and voted %.1fs after its return", returned.Host, returned.LostAt.Seconds(), returned.VotedAfter.Seconds())
}

// votes records when replicas that lost their disks voted again.
type votes struct {
	lock      sync.Mutex
	startedAt time.Time
	// known holds the ids under which the replica at an address has voted.
	known map[string][]string
	lost  []loss
}

type loss struct {
	host              *mesh.Process
	at, returns, vote time.Time
}

func (votes *votes) recordLoss(host *mesh.Process, down time.Duration) {
	votes.lock.Lock()
	defer votes.lock.Unlock()
	now := time.Now()
	votes.lost = append(votes.lost, loss{host: host, at: now, returns: now.Add(down)})
}

// recordVoters records the voters that a replica listed.
func (votes *votes) recordVoters(members []groupMember) {
	votes.lock.Lock()
	defer votes.lock.Unlock()
	for _, member := range members {
		if member.Role == roleLearner || slices.Contains(votes.known[member.Address], member.ID) {
			continue
		}
		votes.known[member.Address] = append(votes.known[member.Address], member.ID)
		for index := range votes.lost {
			if entry := &votes.lost[index]; entry.host.LinkAddress == member.Address && entry.vote.IsZero() {
				entry.vote = time.Now()
			}
		}
	}
}

func (votes *votes) returns() []Return {
	votes.lock.Lock()
	defer votes.lock.Unlock()
	var returns []Return
	for _, entry := range votes.lost {
		returned := Return{Host: string(entry.host.Node), LostAt: entry.at.Sub(votes.startedAt)}
		if !entry.vote.IsZero() {
			returned.VotedAfter = entry.vote.Sub(entry.returns)
		}
		returns = append(returns, returned)
	}
	return returns
}

const votesInterval = 100 * time.Millisecond

// watchVotes asks each replica for the members of the group until the context ends.
func (execution *execution) watchVotes(ctx context.Context) {
	execution.votes.startedAt, execution.votes.known = time.Now(), make(map[string][]string)
	client := &http.Client{Timeout: pollInterval}
	watching := sync.WaitGroup{}
	for _, replica := range execution.replicas() {
		watching.Go(func() {
			for wait.For(ctx, votesInterval) {
				if listed, err := post[groupList](ctx, client, replica.Admin, "list-replicas", struct{}{}); err == nil {
					execution.votes.recordVoters(listed.Members)
				}
			}
		})
	}
	watching.Wait()
}
