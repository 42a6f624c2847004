package quorum

import "github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"

// forward is a command that waits for the next message to the leader.
type forward struct {
	request RequestID
	command []byte
}

// Forward hands a command to the leader. The answer comes in
// [Output.Proposals]; without one it is not known whether the command is in
// the log.
func (replica *Replica) Forward(request RequestID, command []byte) error {
	if replica.leader == None || replica.role == Leader {
		return ErrNoLeader
	}
	if len(command) > replica.EntryBytes {
		return ErrTooLarge
	}
	replica.forwards = append(replica.forwards, forward{request, command})
	return nil
}

// flushForwards sends the waiting commands to the leader, as many in a message
// as it may hold, or refuses them when there is none any more.
func (replica *Replica) flushForwards() {
	waiting := replica.forwards
	replica.forwards = nil
	if replica.leader == None || replica.role == Leader {
		for _, one := range waiting {
			replica.output.Proposals = append(replica.output.Proposals, ProposalResult{one.request, ErrNoLeader})
		}
		return
	}
	for len(waiting) > 0 {
		proposal := &quorumpb.Proposal{}
		size := 0
		for _, one := range waiting {
			size += len(one.command) + entryOverhead
			if size > replica.MessageBytes && len(proposal.Requests) > 0 {
				break
			}
			proposal.Requests = append(proposal.Requests, uint64(one.request))
			proposal.Commands = append(proposal.Commands, one.command)
		}
		waiting = waiting[len(proposal.Requests):]
		replica.send(replica.leader, 0, &quorumpb.Message{Body: &quorumpb.Message_Proposal{Proposal: proposal}})
	}
}

// refusals are the errors that travel with a result; zero is none.
var refusals = [...]error{nil, ErrNotLeader, ErrTooLarge, ErrBusy, ErrTransferring}

func (replica *Replica) stepProposal(from ReplicaID, proposal *quorumpb.Proposal) {
	if len(proposal.GetRequests()) != len(proposal.GetCommands()) {
		return
	}
	result := &quorumpb.ProposalResult{Requests: proposal.GetRequests()}
	for _, command := range proposal.GetCommands() {
		_, _, err := replica.Propose(command)
		result.Refusals = append(result.Refusals, refusalNumber(err))
	}
	replica.send(from, 0, &quorumpb.Message{Body: &quorumpb.Message_ProposalResult{ProposalResult: result}})
}

func refusalNumber(err error) uint32 {
	for number, refusal := range refusals {
		if refusal == err {
			return uint32(number)
		}
	}
	return 0
}

func (replica *Replica) stepProposalResult(result *quorumpb.ProposalResult) {
	if len(result.GetRequests()) != len(result.GetRefusals()) {
		return
	}
	for at, request := range result.GetRequests() {
		refusal := result.GetRefusals()[at]
		if int(refusal) < len(refusals) {
			answer := ProposalResult{RequestID(request), refusals[refusal]}
			replica.output.Proposals = append(replica.output.Proposals, answer)
		}
	}
}
