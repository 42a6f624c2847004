package quorum

import "github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"

// forwardedCommand is a command that is queued for the next message to the
// leader.
type forwardedCommand struct {
	request RequestID
	command []byte
}

// Forward sends a command to the leader. The result arrives in
// [Output.ProposalResults]. If none arrives, the command may or may not be in the
// log. It returns [ErrNoLeader] if no other replica is known to lead, and
// [ErrTooLarge] if the command exceeds the limit.
func (replica *Replica) Forward(request RequestID, command []byte) error {
	if replica.leaderID == None || replica.role == Leader {
		return ErrNoLeader
	}
	if len(command) > replica.MaxEntryBytes {
		return ErrTooLarge
	}
	replica.forwardQueue = append(replica.forwardQueue, forwardedCommand{request, command})
	return nil
}

// sendForwards sends the queued commands to the leader in as few messages as
// MaxMessageBytes allows. It refuses them if the leader is no longer known.
func (replica *Replica) sendForwards() {
	queued := replica.forwardQueue
	replica.forwardQueue = nil
	if replica.leaderID == None || replica.role == Leader {
		for _, forwarded := range queued {
			replica.nextOutput.ProposalResults = append(replica.nextOutput.ProposalResults, ProposalResult{forwarded.request, ErrNoLeader})
		}
		return
	}
	for len(queued) > 0 {
		proposal := &quorumpb.Proposal{}
		size := 0
		for _, forwarded := range queued {
			size += len(forwarded.command) + entryOverheadBytes
			if size > replica.MaxMessageBytes && len(proposal.Requests) > 0 {
				break
			}
			proposal.Requests = append(proposal.Requests, uint64(forwarded.request))
			proposal.Commands = append(proposal.Commands, forwarded.command)
		}
		queued = queued[len(proposal.Requests):]
		replica.send(replica.leaderID, 0, &quorumpb.Message{Body: &quorumpb.Message_Proposal{Proposal: proposal}})
	}
}

// proposalErrors are the errors of a forwarded proposal. Their position is the
// code on the wire; zero means no error.
var proposalErrors = [...]error{nil, ErrNotLeader, ErrTooLarge, ErrBusy, ErrLeadershipTransfer}

func (replica *Replica) stepProposal(from ReplicaID, proposal *quorumpb.Proposal) {
	if len(proposal.GetRequests()) != len(proposal.GetCommands()) {
		return
	}
	result := &quorumpb.ProposalResult{Requests: proposal.GetRequests()}
	for _, command := range proposal.GetCommands() {
		_, _, err := replica.Propose(command)
		result.Refusals = append(result.Refusals, proposalErrorCode(err))
	}
	replica.send(from, 0, &quorumpb.Message{Body: &quorumpb.Message_ProposalResult{ProposalResult: result}})
}

func proposalErrorCode(err error) uint32 {
	for code, refusal := range proposalErrors {
		if refusal == err {
			return uint32(code)
		}
	}
	return 0
}

func (replica *Replica) stepProposalResult(result *quorumpb.ProposalResult) {
	if len(result.GetRequests()) != len(result.GetRefusals()) {
		return
	}
	for i, request := range result.GetRequests() {
		code := result.GetRefusals()[i]
		if int(code) < len(proposalErrors) {
			proposalResult := ProposalResult{RequestID(request), proposalErrors[code]}
			replica.nextOutput.ProposalResults = append(replica.nextOutput.ProposalResults, proposalResult)
		}
	}
}
