package ledger

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// finishedSize is the size of one packed finished claim.
const finishedSize = 56

func hexDigest(digest []byte) string {
	return hex.EncodeToString(digest)
}

// Restore replaces the state by a snapshot. After an error the state is as it
// was.
func (machine *Machine) Restore(snapshot []byte) error {
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
	*machine = *restored
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
	return b.restoreFinished(state.GetFinished())
}

func (b *book) restoreFinished(records []byte) error {
	if len(records)%finishedSize != 0 {
		return fmt.Errorf("the snapshot holds %d bytes of finished claims, not a multiple of %d; take it from another replica", len(records), finishedSize)
	}
	for record := range slices.Chunk(records, finishedSize) {
		name := id(record[:16])
		holder := &held{
			attempt: request.AttemptID(record[16:32]),
			digest:  BodyDigest(record[32:48]),
			state:   heldFinished,
			expires: Age(binary.BigEndian.Uint64(record[48:])),
		}
		b.claims[name] = holder
		b.claimDates.add(holder.expires, name)
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
