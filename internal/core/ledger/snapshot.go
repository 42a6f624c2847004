package ledger

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
)

func hexDigest(digest []byte) string {
	return hex.EncodeToString(digest)
}

// Snapshot encodes the whole state; equal states give equal bytes.
func (m *Machine) Snapshot() []byte {
	state := &ledgerpb.State{
		Applied:       m.applied,
		Age:           int64(m.age),
		Text:          m.history.text,
		Versions:      m.history.versions,
		Outcomes:      m.history.outcomes,
		ForgottenBase: m.history.forgottenBase,
		Settlements:   m.book.settlements,
	}
	for name, holder := range m.book.claims {
		state.Claims = append(state.Claims, holder.record(name))
	}
	slices.SortFunc(state.Claims, func(left, right *ledgerpb.ClaimRecord) int {
		return bytes.Compare(left.GetId(), right.GetId())
	})
	for attempt, expires := range m.book.tombstones {
		state.Tombstones = append(state.Tombstones, &ledgerpb.Tombstone{Attempt: attempt[:], Expires: int64(expires)})
	}
	slices.SortFunc(state.Tombstones, func(left, right *ledgerpb.Tombstone) int {
		return bytes.Compare(left.GetAttempt(), right.GetAttempt())
	})
	return encode(state)
}

func (h *held) record(name id) *ledgerpb.ClaimRecord {
	record := &ledgerpb.ClaimRecord{
		Id:      name[:],
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

// Restore replaces the state by a snapshot. After an error the state is as it
// was.
func (m *Machine) Restore(snapshot []byte) error {
	state := new(ledgerpb.State)
	if err := proto.Unmarshal(snapshot, state); err != nil {
		return fmt.Errorf("the snapshot cannot be read: %w; take it from another replica", err)
	}
	restored := New()
	restored.applied = state.GetApplied()
	restored.age = Age(state.GetAge())
	restored.history.restore(state)
	if err := restored.book.restore(state); err != nil {
		return err
	}
	*m = *restored
	return nil
}

func (h *history) restore(state *ledgerpb.State) {
	h.text = state.GetText()
	h.versions = state.GetVersions()
	h.outcomes = state.GetOutcomes()
	h.forgottenBase = state.GetForgottenBase()
	for _, one := range h.outcomes {
		h.byID[one.GetId()] = one
	}
}

func (b *book) restore(state *ledgerpb.State) error {
	b.settlements = state.GetSettlements()
	now := int64(Age(state.GetAge()) / calendarDay)
	b.claimDates.next, b.tombDates.next = now+1, now+1
	for _, tombstone := range state.GetTombstones() {
		attempt, valid := attemptID(tombstone.GetAttempt())
		if !valid {
			return fmt.Errorf("the snapshot holds an attempt id of %d bytes; take it from another replica", len(tombstone.GetAttempt()))
		}
		b.tombstones[attempt] = Age(tombstone.GetExpires())
		b.tombDates.add(Age(tombstone.GetExpires()), attempt)
	}
	for _, record := range state.GetClaims() {
		if err := b.restoreClaim(record); err != nil {
			return err
		}
	}
	return nil
}

func (b *book) restoreClaim(record *ledgerpb.ClaimRecord) error {
	attempt, valid := attemptID(record.GetAttempt())
	if !valid || len(record.GetId()) != len(id{}) || len(record.GetDigest()) != len(BodyDigest{}) {
		return fmt.Errorf("the snapshot holds a claim with an id of %d bytes; take it from another replica", len(record.GetId()))
	}
	name := id(record.GetId())
	holder := &held{
		attempt: attempt,
		digest:  BodyDigest(record.GetDigest()),
		state:   heldState(record.GetState()),
		expires: Age(record.GetExpires()),
	}
	if holder.state != heldFinished {
		holder.open = &openText{kind: record.GetKind(), key: record.GetKey(), node: record.GetNode()}
	}
	if record.GetAnswer() != nil {
		holder.kept = &keptAnswer{answer: record.GetAnswer(), expires: Age(record.GetAnswerExpires())}
	}
	b.claims[name] = holder
	if holder.state == heldFinished {
		b.claimDates.add(holder.nextDate(), name)
	}
	return nil
}
