package ledger

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// FrozenState is a copy of the state at one log index. One goroutine may use it
// while another one goes on applying commands to the [Machine].
type FrozenState struct {
	state      *ledgerpb.State
	claims     []frozenClaim
	tombstones []frozenTombstone
}

type frozenClaim struct {
	id    claimID
	entry claimEntry
}

type frozenTombstone struct {
	attempt request.AttemptID
	expires Age
}

// Snapshot returns the encoded state for [Machine.Restore]. Equal states have
// equal encodings.
func (machine *Machine) Snapshot() []byte {
	return machine.Freeze().Encode()
}

// Freeze copies the state. For a large state this takes far less time than
// encoding it, which another goroutine can do with the copy.
func (machine *Machine) Freeze() *FrozenState {
	frozen := &FrozenState{
		state: &ledgerpb.State{
			Applied:       machine.applied,
			Age:           int64(machine.age),
			Text:          machine.history.currentText,
			Versions:      slices.Clone(machine.history.versions),
			Outcomes:      slices.Clone(machine.history.patchOutcomes),
			ForgottenBase: machine.history.oldestDecidableBase,
			Settlements:   slices.Clone(machine.claims.settlements),
		},
		claims:     make([]frozenClaim, 0, len(machine.claims.entries)),
		tombstones: make([]frozenTombstone, 0, len(machine.claims.tombstones)),
	}
	for id, entry := range machine.claims.entries {
		frozen.claims = append(frozen.claims, frozenClaim{id, *entry})
	}
	for attempt, expires := range machine.claims.tombstones {
		frozen.tombstones = append(frozen.tombstones, frozenTombstone{attempt, expires})
	}
	return frozen
}

// Encode returns the encoded state for [Machine.Restore].
func (frozen *FrozenState) Encode() []byte {
	slices.SortFunc(frozen.claims, func(left, right frozenClaim) int {
		return bytes.Compare(left.id[:], right.id[:])
	})
	slices.SortFunc(frozen.tombstones, func(left, right frozenTombstone) int {
		return bytes.Compare(left.attempt[:], right.attempt[:])
	})
	frozen.state.Claims, frozen.state.Finished, frozen.state.Tombstones = nil, nil, nil
	for i := range frozen.claims {
		frozen.addClaim(&frozen.claims[i])
	}
	for i := range frozen.tombstones {
		tombstone := &frozen.tombstones[i]
		frozen.state.Tombstones = append(frozen.state.Tombstones, &ledgerpb.Tombstone{Attempt: tombstone.attempt[:], Expires: int64(tombstone.expires)})
	}
	return encode(frozen.state)
}

func (frozen *FrozenState) addClaim(claim *frozenClaim) {
	if claim.entry.state != entryFinished || claim.entry.keptAnswer != nil {
		frozen.state.Claims = append(frozen.state.Claims, claim.entry.record(claim.id[:]))
		return
	}
	frozen.state.Finished = append(frozen.state.Finished, claim.id[:]...)
	frozen.state.Finished = append(frozen.state.Finished, claim.entry.attempt[:]...)
	frozen.state.Finished = append(frozen.state.Finished, claim.entry.digest[:]...)
	frozen.state.Finished = binary.BigEndian.AppendUint64(frozen.state.Finished, uint64(claim.entry.expires))
}

func (entry *claimEntry) record(id []byte) *ledgerpb.ClaimRecord {
	record := &ledgerpb.ClaimRecord{
		Id:      id,
		Attempt: entry.attempt[:],
		Digest:  entry.digest[:],
		State:   uint32(entry.state),
		Expires: int64(entry.expires),
	}
	if entry.details != nil {
		record.Node, record.Kind, record.Key = entry.details.node, entry.details.kind, entry.details.key
	}
	if entry.keptAnswer != nil {
		record.Answer, record.AnswerExpires = entry.keptAnswer.answer, int64(entry.keptAnswer.expires)
	}
	return record
}
