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
func (m *Machine) Snapshot() []byte {
	return m.Freeze().Encode()
}

// Freeze copies the state, which takes the owner of a large one far less time
// than encoding it; another goroutine may encode the copy.
func (m *Machine) Freeze() *Frozen {
	frozen := &Frozen{
		state: &ledgerpb.State{
			Applied:       m.applied,
			Age:           int64(m.age),
			Text:          m.history.text,
			Versions:      slices.Clone(m.history.versions),
			Outcomes:      slices.Clone(m.history.outcomes),
			ForgottenBase: m.history.forgottenBase,
			Settlements:   slices.Clone(m.book.settlements),
		},
		claims:     make([]frozenClaim, 0, len(m.book.claims)),
		tombstones: make([]frozenTombstone, 0, len(m.book.tombstones)),
	}
	for name, holder := range m.book.claims {
		frozen.claims = append(frozen.claims, frozenClaim{name, *holder})
	}
	for attempt, expires := range m.book.tombstones {
		frozen.tombstones = append(frozen.tombstones, frozenTombstone{attempt, expires})
	}
	return frozen
}

// Encode gives the bytes for [Machine.Restore].
func (f *Frozen) Encode() []byte {
	slices.SortFunc(f.claims, func(left, right frozenClaim) int {
		return bytes.Compare(left.id[:], right.id[:])
	})
	slices.SortFunc(f.tombstones, func(left, right frozenTombstone) int {
		return bytes.Compare(left.attempt[:], right.attempt[:])
	})
	f.state.Claims, f.state.Finished, f.state.Tombstones = nil, nil, nil
	for i := range f.claims {
		f.add(&f.claims[i])
	}
	for i := range f.tombstones {
		one := &f.tombstones[i]
		f.state.Tombstones = append(f.state.Tombstones, &ledgerpb.Tombstone{Attempt: one.attempt[:], Expires: int64(one.expires)})
	}
	return encode(f.state)
}

func (f *Frozen) add(claim *frozenClaim) {
	if claim.held.state != heldFinished || claim.held.kept != nil {
		f.state.Claims = append(f.state.Claims, claim.held.record(claim.id[:]))
		return
	}
	f.state.Finished = append(f.state.Finished, claim.id[:]...)
	f.state.Finished = append(f.state.Finished, claim.held.attempt[:]...)
	f.state.Finished = append(f.state.Finished, claim.held.digest[:]...)
	f.state.Finished = binary.BigEndian.AppendUint64(f.state.Finished, uint64(claim.held.expires))
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
