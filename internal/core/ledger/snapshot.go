package ledger

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Frozen is a copy of the state at one index.
type Frozen struct {
	state      *ledgerpb.State
	claims     []frozenClaim
	tombstones []frozenTombstone
}

type frozenClaim struct {
	id   id
	held held
}

type frozenTombstone struct {
	attempt request.AttemptID
	expires Age
}

// Snapshot encodes the whole state; equal states give equal bytes.
func (machine *Machine) Snapshot() []byte {
	return machine.Freeze().Encode()
}

// Freeze copies the state, which takes the owner of a large one far less time
// than encoding it; another goroutine may encode the copy.
func (machine *Machine) Freeze() *Frozen {
	frozen := &Frozen{
		state: &ledgerpb.State{
			Applied:       machine.applied,
			Age:           int64(machine.age),
			Text:          machine.history.text,
			Versions:      slices.Clone(machine.history.versions),
			Outcomes:      slices.Clone(machine.history.outcomes),
			ForgottenBase: machine.history.forgottenBase,
			Settlements:   slices.Clone(machine.book.settlements),
		},
		claims:     make([]frozenClaim, 0, len(machine.book.claims)),
		tombstones: make([]frozenTombstone, 0, len(machine.book.tombstones)),
	}
	for name, holder := range machine.book.claims {
		frozen.claims = append(frozen.claims, frozenClaim{name, *holder})
	}
	for attempt, expires := range machine.book.tombstones {
		frozen.tombstones = append(frozen.tombstones, frozenTombstone{attempt, expires})
	}
	return frozen
}

// Encode gives the bytes for [Machine.Restore].
func (frozen *Frozen) Encode() []byte {
	slices.SortFunc(frozen.claims, func(left, right frozenClaim) int {
		return bytes.Compare(left.id[:], right.id[:])
	})
	slices.SortFunc(frozen.tombstones, func(left, right frozenTombstone) int {
		return bytes.Compare(left.attempt[:], right.attempt[:])
	})
	frozen.state.Claims, frozen.state.Finished, frozen.state.Tombstones = nil, nil, nil
	for i := range frozen.claims {
		frozen.add(&frozen.claims[i])
	}
	for i := range frozen.tombstones {
		one := &frozen.tombstones[i]
		frozen.state.Tombstones = append(frozen.state.Tombstones, &ledgerpb.Tombstone{Attempt: one.attempt[:], Expires: int64(one.expires)})
	}
	return encode(frozen.state)
}

func (frozen *Frozen) add(claim *frozenClaim) {
	if claim.held.state != heldFinished || claim.held.kept != nil {
		frozen.state.Claims = append(frozen.state.Claims, claim.held.record(claim.id[:]))
		return
	}
	frozen.state.Finished = append(frozen.state.Finished, claim.id[:]...)
	frozen.state.Finished = append(frozen.state.Finished, claim.held.attempt[:]...)
	frozen.state.Finished = append(frozen.state.Finished, claim.held.digest[:]...)
	frozen.state.Finished = binary.BigEndian.AppendUint64(frozen.state.Finished, uint64(claim.held.expires))
}

func (h *held) record(name []byte) *ledgerpb.ClaimRecord {
	record := &ledgerpb.ClaimRecord{
		Id:      name,
		Attempt: h.attempt[:],
		Digest:  h.digest[:],
		State:   uint32(h.state),
		Expires: int64(h.expires),
	}
	if h.open != nil {
		record.Node, record.Kind, record.Key = h.open.node, h.open.kind, h.open.key
	}
	if h.kept != nil {
		record.Answer, record.AnswerExpires = h.kept.answer, int64(h.kept.expires)
	}
	return record
}
