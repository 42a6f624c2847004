package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
)

// The roles of members of the group that tell something.
const (
	roleLeader  = "leader"
	roleLearner = "learner"
)

// groupMember is a member of the group of replicas, as an operator sees it.
type groupMember struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Role    string `json:"role"`
}

// groupList is the group as one replica lists it.
type groupList struct {
	Self    string        `json:"here"`
	Members []groupMember `json:"replicas"`
}

// groupReading is what one replica told of its group after the recovery.
type groupReading struct {
	host string
	groupList
	// up, leaderKnown, voters and inContact are its metrics. Only the leader knows how many
	// voters are in contact.
	up, leaderKnown   bool
	voters, inContact int
	// err is set if it did not list the group, or did not read the newest configuration.
	err error
}

// readGroup asks each replica for the members of the group and the newest configuration.
func (execution *execution) readGroup(ctx context.Context) []groupReading {
	client := &http.Client{Timeout: requestTimeout}
	readings := make([]groupReading, len(execution.replicas()))
	asking := sync.WaitGroup{}
	for index, replica := range execution.replicas() {
		asking.Go(func() {
			reading := &readings[index]
			reading.host = string(replica.Node)
			// Zero if the process does not answer, which the check reports.
			up, _ := readGauge(client, replica.Admin, "magnoliawall_replica_up")
			leaderKnown, _ := readGauge(client, replica.Admin, "magnoliawall_replica_leader_known")
			reading.up, reading.leaderKnown = up == 1, leaderKnown == 1
			reading.voters, _ = readGauge(client, replica.Admin, "magnoliawall_replica_voters")
			reading.inContact, _ = readGauge(client, replica.Admin, "magnoliawall_replica_voters_in_contact")
			if reading.groupList, reading.err = post[groupList](ctx, client, replica.Admin, "list-replicas", struct{}{}); reading.err == nil {
				_, reading.err = post[struct{}](ctx, client, replica.Admin, "view-configuration", struct{}{})
			}
		})
	}
	asking.Wait()
	return readings
}

func (reading groupReading) leads() bool {
	return slices.ContainsFunc(reading.Members, func(member groupMember) bool { return member.ID == reading.Self && member.Role == roleLeader })
}

// checkWholeGroup checks that after the recovery each replica votes, that no other id is a
// member, and that each replica reads the newest configuration.
func (observed observations) checkWholeGroup() []string {
	var broken []string
	for _, reading := range observed.group {
		switch {
		case reading.err != nil:
			broken = append(broken, fmt.Sprintf("whole group: %s did not answer: %v", reading.host, reading.err))
		case !reading.up || !reading.leaderKnown || reading.voters != len(observed.group) || reading.leads() && reading.inContact < len(observed.group):
			broken = append(broken, fmt.Sprintf("whole group: the metrics of %s show up %t, leader known %t, %d voters, %d in contact", reading.host, reading.up, reading.leaderKnown, reading.voters, reading.inContact))
		}
		if reading.err != nil {
			continue
		}
		for _, other := range observed.group {
			votes := func(member groupMember) bool { return member.ID == other.Self && member.Role != roleLearner }
			if other.err == nil && !slices.ContainsFunc(reading.Members, votes) {
				broken = append(broken, fmt.Sprintf("whole group: %s does not list %s, which is %s, as a voter", reading.host, other.host, other.Self))
			}
		}
		if len(reading.Members) > len(observed.group) {
			broken = append(broken, fmt.Sprintf("whole group: %s lists %d members of a group of %d", reading.host, len(reading.Members), len(observed.group)))
		}
	}
	return broken
}
