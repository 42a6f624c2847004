package quorum

import "github.com/magnoliawall/magnoliawall/internal/core/quorum/quorumpb"

// mayCampaign tells whether the replica is a voter by its own log. While its
// removal is not committed it still is one: it may be the only one that has
// the entry, and then nobody else can win.
func (replica *Replica) mayCampaign() bool {
	if replica.removed {
		return false
	}
	return replica.history.votedSince(replica.log.commit, replica.ID)
}

// hearsLeader tells whether a leader was heard within the shortest election
// timeout. Votes are refused then, so that a replica that was cut off cannot
// disturb a healthy majority.
func (replica *Replica) hearsLeader() bool {
	if replica.role == Leader {
		return true
	}
	return replica.leader != None && replica.elapsed < replica.ElectionTicks
}

// campaign names a reason for asking for votes.
type campaign uint8

const (
	// preVote only asks whether votes would be given; the term stays.
	preVote campaign = iota
	// election follows on a pre-vote that was won.
	election
	// transfer was asked for by the leader.
	transfer
)

// campaign asks for votes.
func (replica *Replica) campaign(kind campaign) {
	replica.failRequests()
	replica.leader = None
	replica.votes = make(map[ReplicaID]bool)
	replica.resetTimeout()
	term := replica.hardState.Term + 1
	if kind == preVote {
		replica.role = PreCandidate
		replica.votes[replica.ID] = true
	} else {
		replica.role = Candidate
		replica.hardState = HardState{Term: term, Vote: replica.ID}
		replica.voteSaved = false
	}
	replica.requestVotes(term, kind)
	replica.countVotes()
}

func (replica *Replica) requestVotes(term Term, kind campaign) {
	for _, member := range replica.membership().Members {
		if member.Learner || member.ID == replica.ID {
			continue
		}
		replica.sendSynced(member.ID, term, &quorumpb.Message{Body: &quorumpb.Message_VoteRequest{VoteRequest: &quorumpb.VoteRequest{
			Pre:       kind == preVote,
			Transfer:  kind == transfer,
			LastIndex: uint64(replica.log.last()),
			LastTerm:  uint64(replica.log.lastTerm()),
		}}})
	}
}

// answerPreVote answers a request for a term newer than this one.
func (replica *Replica) answerPreVote(from ReplicaID, term Term, request *quorumpb.VoteRequest) {
	granted := replica.log.upToDate(Index(request.GetLastIndex()), Term(request.GetLastTerm()))
	if !granted {
		term = replica.hardState.Term
	}
	replica.acknowledgeVote(from, term, true, granted)
}

func (replica *Replica) stepVoteRequest(from ReplicaID, request *quorumpb.VoteRequest) {
	if request.GetPre() {
		replica.acknowledgeVote(from, replica.hardState.Term, true, false)
		return
	}
	free := replica.hardState.Vote == from || (replica.hardState.Vote == None && replica.leader == None)
	granted := free && replica.log.upToDate(Index(request.GetLastIndex()), Term(request.GetLastTerm()))
	if granted {
		replica.hardState.Vote = from
		replica.elapsed = 0
	}
	replica.acknowledgeVote(from, replica.hardState.Term, false, granted)
}

func (replica *Replica) acknowledgeVote(to ReplicaID, term Term, pre, granted bool) {
	if term == 0 {
		return
	}
	replica.sendSynced(to, term, &quorumpb.Message{Body: &quorumpb.Message_VoteResult{VoteResult: &quorumpb.VoteResult{Pre: pre, Granted: granted}}})
}

// stepPreVoteResult counts a vote that would be given in the next term.
func (replica *Replica) stepPreVoteResult(from ReplicaID, term Term) {
	if replica.role != PreCandidate || term != replica.hardState.Term+1 {
		return
	}
	replica.votes[from] = true
	replica.countVotes()
}

func (replica *Replica) stepVoteResult(from ReplicaID, result *quorumpb.VoteResult) {
	counted := replica.role == Candidate && !result.GetPre()
	refused := replica.role == PreCandidate && result.GetPre() && !result.GetGranted()
	if !counted && !refused {
		return
	}
	if _, known := replica.votes[from]; known {
		return
	}
	replica.votes[from] = result.GetGranted()
	replica.countVotes()
}

// countVotes counts the votes of voters only, whoever else answered.
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
		replica.win()
		return
	}
	if refused >= membership.Majority() {
		replica.becomeFollower(replica.hardState.Term, None)
	}
}

func (replica *Replica) win() {
	if replica.role == PreCandidate {
		replica.campaign(election)
		return
	}
	replica.becomeLeader()
}

// voteStored counts the replica's own vote once it is on disk.
func (replica *Replica) voteStored(saved HardState) {
	if replica.role != Candidate || saved != replica.hardState || replica.voteSaved {
		return
	}
	replica.voteSaved = true
	replica.votes[replica.ID] = true
	replica.countVotes()
}
