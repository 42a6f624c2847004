package quorum

import "github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"

// mayCampaign reports whether the replica is a voter according to its own log.
// It still is one while its removal is not committed: it may be the only replica
// that has the entry of the removal, and then no other one can win an election.
func (replica *Replica) mayCampaign() bool {
	if replica.toldRemoved {
		return false
	}
	return replica.membershipHistory.isVoterSince(replica.log.commitIndex, replica.ID)
}

// hasActiveLeader reports whether a leader was heard from within the shortest
// election timeout. Vote requests are ignored then, so that a replica that was
// partitioned cannot disrupt a working majority.
func (replica *Replica) hasActiveLeader() bool {
	if replica.role == Leader {
		return true
	}
	return replica.leaderID != None && replica.electionElapsed < replica.ElectionTicks
}

// campaignKind is the kind of an election.
type campaignKind uint8

const (
	// campaignPreVote asks whether votes would be granted, without a new term.
	campaignPreVote campaignKind = iota
	// campaignElection follows a pre-vote that was won.
	campaignElection
	// campaignTransfer was requested by the leader and skips the pre-vote.
	campaignTransfer
)

// campaign starts a pre-vote or an election.
func (replica *Replica) campaign(kind campaignKind) {
	replica.refuseReads()
	replica.leaderID = None
	replica.votes = make(map[ReplicaID]bool)
	replica.resetElectionTimeout()
	term := replica.hardState.Term + 1
	if kind == campaignPreVote {
		replica.role = PreCandidate
		replica.votes[replica.ID] = true
	} else {
		replica.role = Candidate
		replica.hardState = HardState{Term: term, Vote: replica.ID}
		replica.ownVoteStored = false
	}
	replica.requestVotes(term, kind)
	replica.countVotes()
}

func (replica *Replica) requestVotes(term Term, kind campaignKind) {
	for _, member := range replica.membership().Members {
		if member.Learner || member.ID == replica.ID {
			continue
		}
		replica.sendAfterSync(member.ID, term, &quorumpb.Message{Body: &quorumpb.Message_VoteRequest{VoteRequest: &quorumpb.VoteRequest{
			Pre:       kind == campaignPreVote,
			Transfer:  kind == campaignTransfer,
			LastIndex: uint64(replica.log.lastIndex()),
			LastTerm:  uint64(replica.log.lastTerm()),
		}}})
	}
}

// answerPreVote answers a pre-vote request for a newer term. A granted vote
// carries that term, a refusal the current one.
func (replica *Replica) answerPreVote(from ReplicaID, term Term, request *quorumpb.VoteRequest) {
	granted := replica.log.isUpToDate(Index(request.GetLastIndex()), Term(request.GetLastTerm()))
	if !granted {
		term = replica.hardState.Term
	}
	replica.sendVoteResult(from, term, true, granted)
}

func (replica *Replica) stepVoteRequest(from ReplicaID, request *quorumpb.VoteRequest) {
	if request.GetPre() {
		replica.sendVoteResult(from, replica.hardState.Term, true, false)
		return
	}
	canVote := replica.hardState.Vote == from || (replica.hardState.Vote == None && replica.leaderID == None)
	granted := canVote && replica.log.isUpToDate(Index(request.GetLastIndex()), Term(request.GetLastTerm()))
	if granted {
		replica.hardState.Vote = from
		replica.electionElapsed = 0
	}
	replica.sendVoteResult(from, replica.hardState.Term, false, granted)
}

func (replica *Replica) sendVoteResult(to ReplicaID, term Term, pre, granted bool) {
	if term == 0 {
		return
	}
	replica.sendAfterSync(to, term, &quorumpb.Message{Body: &quorumpb.Message_VoteResult{VoteResult: &quorumpb.VoteResult{Pre: pre, Granted: granted}}})
}

// stepPreVoteResult counts a granted pre-vote for the next term.
func (replica *Replica) stepPreVoteResult(from ReplicaID, term Term) {
	if replica.role != PreCandidate || term != replica.hardState.Term+1 {
		return
	}
	replica.votes[from] = true
	replica.countVotes()
}

func (replica *Replica) stepVoteResult(from ReplicaID, result *quorumpb.VoteResult) {
	isVote := replica.role == Candidate && !result.GetPre()
	isPreVoteRefusal := replica.role == PreCandidate && result.GetPre() && !result.GetGranted()
	if !isVote && !isPreVoteRefusal {
		return
	}
	if _, counted := replica.votes[from]; counted {
		return
	}
	replica.votes[from] = result.GetGranted()
	replica.countVotes()
}

// countVotes evaluates the votes so far. Answers of ids that are not voters do
// not count.
func (replica *Replica) countVotes() {
	membership := replica.membership()
	granted, refused := 0, 0
	for _, member := range membership.Members {
		vote, voted := replica.votes[member.ID]
		switch {
		case member.Learner || !voted:
		case vote:
			granted++
		default:
			refused++
		}
	}
	if granted >= membership.Majority() {
		replica.winElection()
		return
	}
	if refused >= membership.Majority() {
		replica.becomeFollower(replica.hardState.Term, None)
	}
}

func (replica *Replica) winElection() {
	if replica.role == PreCandidate {
		replica.campaign(campaignElection)
		return
	}
	replica.becomeLeader()
}

// countOwnVote counts the candidate's vote for itself once it is synced.
func (replica *Replica) countOwnVote(stored HardState) {
	if replica.role != Candidate || stored != replica.hardState || replica.ownVoteStored {
		return
	}
	replica.ownVoteStored = true
	replica.votes[replica.ID] = true
	replica.countVotes()
}
