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
	replica.campaignKind = kind
	if kind == campaignPreVote {
		replica.role = PreCandidate
		replica.votes[replica.ID] = true
	} else {
		replica.role = Candidate
		replica.hardState = HardState{Term: replica.hardState.Term + 1, Vote: replica.ID}
		replica.ownVoteStored = false
	}
	replica.repeatVoteRequests()
	replica.countVotes()
}

// repeatVoteRequests asks the voters that have not answered. Where every voter that is left
// is needed, one that still hears of the former leader, or one lost message, would
// otherwise end the election. One that has refused is not asked again: with long delays it
// may have begun to stand itself, and both would split the votes.
func (replica *Replica) repeatVoteRequests() {
	term := replica.hardState.Term
	if replica.campaignKind == campaignPreVote {
		term++
	}
	for _, member := range replica.membership().Members {
		if _, answered := replica.votes[member.ID]; answered || member.Learner || member.ID == replica.ID {
			continue
		}
		replica.sendAfterSync(member.ID, term, &quorumpb.Message{Body: &quorumpb.Message_VoteRequest{VoteRequest: &quorumpb.VoteRequest{
			Pre:       replica.campaignKind == campaignPreVote,
			Transfer:  replica.campaignKind == campaignTransfer,
			LastIndex: uint64(replica.log.lastIndex()),
			LastTerm:  uint64(replica.log.lastTerm()),
		}}})
	}
}

// answerPreVote answers a pre-vote request for a newer term. A granted vote
// carries that term, a refusal the current one.
func (replica *Replica) answerPreVote(from ReplicaID, term Term, request *quorumpb.VoteRequest) {
	lastIndex, lastTerm := Index(request.GetLastIndex()), Term(request.GetLastTerm())
	upToDate := replica.log.isUpToDate(lastIndex, lastTerm)
	granted := upToDate && !replica.precedes(from, lastIndex, lastTerm)
	if !granted {
		term = replica.hardState.Term
	}
	replica.adaptElectionTimeout(upToDate)
	replica.sendVoteResult(from, term, true, granted)
}

// adaptElectionTimeout lets a follower that is asked for a pre-vote wait for that election,
// but not for long, or stand soon itself if the other one lacks entries and cannot win. It
// does not stand within the shortest election timeout after it has voted for another.
func (replica *Replica) adaptElectionTimeout(upToDate bool) {
	soon := replica.electionElapsed + electionStaggerTicks
	switch {
	case replica.role != Follower:
	case upToDate:
		replica.electionTimeout = max(replica.electionTimeout, min(soon, 2*replica.ElectionTicks))
	default:
		replica.electionTimeout = min(replica.electionTimeout, max(soon, replica.ElectionTicks))
	}
}

// precedes reports whether this replica has just begun to ask for votes itself and goes
// before another one whose log is as long. Both could win the pre-vote, and split the
// votes of the election. After that time it grants the vote, since it may not reach a
// majority itself.
func (replica *Replica) precedes(other ReplicaID, lastIndex Index, lastTerm Term) bool {
	return replica.role == PreCandidate && replica.electionElapsed < electionStaggerTicks &&
		lastIndex == replica.log.lastIndex() && lastTerm == replica.log.lastTerm() && replica.ID > other
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
