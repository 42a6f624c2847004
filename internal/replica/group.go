package replica

import (
	"context"
	"fmt"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
)

// GroupState describes the voters of the group and the changes of its members, as one
// replica sees them. Only a leader hears all members; a replica that follows a leader
// leaves InContact at zero.
type GroupState struct {
	Voters, Learners int
	// Needed is the number of voters that must agree.
	Needed int
	// InContact is the number of voters heard of lately, including this replica.
	InContact int
	// Waiting names the change of members that is due and what it waits for, or is
	// empty.
	Waiting string
	// Lag is the number of entries that the learner that is furthest behind still
	// lacks.
	Lag quorum.Index
	// WithoutLog says that this replica has no log. Asked and Answered are then the
	// numbers of addresses that it asks for one, and of those that answered.
	WithoutLog      bool
	Asked, Answered int
}

// String describes the state in one sentence.
func (state GroupState) String() string {
	if state.WithoutLog {
		return fmt.Sprintf("no log yet; %d of %d addresses that were asked for one have answered", state.Answered, state.Asked)
	}
	text := fmt.Sprintf("%d of %d voters in contact, %d needed, %d learners", state.InContact, state.Voters, state.Needed, state.Learners)
	if state.Lag > 0 {
		text += fmt.Sprintf(", %d entries behind", state.Lag)
	}
	if state.Waiting != "" {
		text += "; waiting: " + state.Waiting
	}
	return text
}

// endangered reports whether the group has no majority, or would have none after the
// loss of one more voter while others are out of contact.
func (state GroupState) endangered() bool {
	return state.WithoutLog || state.InContact < state.Needed || state.InContact == state.Needed && state.InContact < state.Voters
}

// Group returns what this replica knows of the group.
func (replica *Replica[M]) Group(ctx context.Context) (GroupState, error) {
	var state GroupState
	err := replica.Peek(ctx, func(M) { state = replica.groupState() })
	return state, err
}

func (replica *Replica[M]) groupState() GroupState {
	status := replica.core.Status()
	state := GroupState{Waiting: replica.membership.waiting, WithoutLog: !replica.hasLog()}
	if state.WithoutLog {
		state.Asked = len(replica.questionAddresses())
		state.Answered = len(replica.bootstrap.answered)
		return state
	}
	state.Voters = status.Membership.VoterCount()
	state.Learners = len(status.Membership.Members) - state.Voters
	state.Needed = status.Membership.Majority()
	if status.Role == quorum.Follower && status.Leader != quorum.None {
		return state
	}
	for _, member := range status.Membership.Members {
		switch {
		case member.Learner:
			matched, _ := replica.core.MatchIndex(member.ID)
			state.Lag = max(state.Lag, status.CommitIndex-min(matched, status.CommitIndex))
		case member.ID == replica.core.ID, replica.inContact(member.ID):
			state.InContact++
		}
	}
	return state
}

// inContact reports whether a member was heard of lately.
func (replica *Replica[M]) inContact(id quorum.ReplicaID) bool {
	heard, known := replica.membership.lastHeard[id]
	return known && replica.membership.ticks-heard < unresponsiveTicks
}

// logGroup logs the state of the group when it has changed, at most once in the
// shortest election timeout. A replica that follows a leader logs nothing.
func (replica *Replica[M]) logGroup() {
	if replica.Logger == nil || !replica.FormsFromSeeds || replica.membership.ticks%replica.ElectionTicks != 0 {
		return
	}
	status := replica.core.Status()
	if replica.hasLog() && status.Role == quorum.Follower && status.Leader != quorum.None {
		replica.membership.loggedGroup = ""
		return
	}
	state := replica.groupState()
	text := state.String()
	if text == replica.membership.loggedGroup {
		return
	}
	replica.membership.loggedGroup = text
	event := replica.Logger.Info()
	if state.endangered() {
		event = replica.Logger.Warn()
	}
	event.Uint64("last", uint64(status.LastIndex)).Uint64("commit", uint64(status.CommitIndex)).Msg("replica: " + text)
}
