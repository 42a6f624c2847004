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

// finishedClaimBytes is the encoded size of a finished claim without an answer:
// 16 bytes each for its id, attempt and digest, and 8 for its expiry.
const finishedClaimBytes = 56

func hexDigest(digest []byte) string {
	return hex.EncodeToString(digest)
}

// Restore replaces the state by that of an encoded snapshot. On an error the
// state is unchanged.
func (machine *Machine) Restore(snapshot []byte) error {
	state := new(ledgerpb.State)
	if err := proto.Unmarshal(snapshot, state); err != nil {
		return fmt.Errorf("the snapshot cannot be decoded: %w; copy one from another replica", err)
	}
	restored := New()
	restored.applied = state.GetApplied()
	restored.age = Age(state.GetAge())
	restored.history.restore(state)
	if err := restored.claims.restore(state); err != nil {
		return err
	}
	*machine = *restored
	return nil
}

func (history *versionHistory) restore(state *ledgerpb.State) {
	history.currentText = state.GetText()
	history.versions = state.GetVersions()
	history.patchOutcomes = state.GetOutcomes()
	history.oldestDecidableBase = state.GetForgottenBase()
	for _, outcome := range history.patchOutcomes {
		history.outcomeByID[outcome.GetId()] = outcome
		history.faultBytes += faultSize(outcome)
	}
	for history.faultBytes > MaxFaultBytes {
		history.dropOldestFaults()
	}
	history.restoreReverses()
}

// restoreReverses drops the reverse splices that a build without [MaxReverseBytes], or with
// a higher one, has kept over the limit.
func (history *versionHistory) restoreReverses() {
	oldest := max(0, len(history.versions)-1)
	for oldest > 0 && !isDropped(history.versions[oldest].GetBack()) {
		size := len(history.versions[oldest].GetBack().GetInserted())
		if history.reverseBytes+size > MaxReverseBytes {
			break
		}
		history.reverseBytes += size
		oldest--
	}
	history.oldestText = oldest
	for index := range history.versions[:min(oldest+1, len(history.versions))] {
		history.dropReverse(index)
	}
}

func (table *claimTable) restore(state *ledgerpb.State) error {
	table.settlements = state.GetSettlements()
	currentBucket := int64(Age(state.GetAge()) / expiryBucketWidth)
	table.claimExpiries.nextBucket, table.tombstoneExpiries.nextBucket = currentBucket+1, currentBucket+1
	for _, tombstone := range state.GetTombstones() {
		attempt, valid := parseAttemptID(tombstone.GetAttempt())
		if !valid {
			return fmt.Errorf("the snapshot has a tombstone with an invalid attempt id of %d bytes; copy a snapshot from another replica", len(tombstone.GetAttempt()))
		}
		table.tombstones[attempt] = Age(tombstone.GetExpires())
		table.tombstoneExpiries.add(Age(tombstone.GetExpires()), attempt)
	}
	for _, record := range state.GetClaims() {
		if err := table.restoreClaim(record); err != nil {
			return err
		}
	}
	return table.restoreFinished(state.GetFinished())
}

func (table *claimTable) restoreFinished(records []byte) error {
	if len(records)%finishedClaimBytes != 0 {
		return fmt.Errorf("the snapshot has %d bytes of finished claims, which is not a multiple of %d; copy a snapshot from another replica", len(records), finishedClaimBytes)
	}
	for record := range slices.Chunk(records, finishedClaimBytes) {
		id := claimID(record[:16])
		entry := &claimEntry{
			attempt: request.AttemptID(record[16:32]),
			digest:  BodyDigest(record[32:48]),
			state:   entryFinished,
			expires: Age(binary.BigEndian.Uint64(record[48:])),
		}
		table.entries[id] = entry
		table.claimExpiries.add(entry.expires, id)
	}
	return nil
}

func (table *claimTable) restoreClaim(record *ledgerpb.ClaimRecord) error {
	attempt, valid := parseAttemptID(record.GetAttempt())
	if !valid || len(record.GetId()) != len(claimID{}) || len(record.GetDigest()) != len(BodyDigest{}) {
		return fmt.Errorf("the snapshot has a claim with an invalid id, attempt or digest (its id has %d bytes); copy a snapshot from another replica", len(record.GetId()))
	}
	id := claimID(record.GetId())
	entry := &claimEntry{
		attempt: attempt,
		digest:  BodyDigest(record.GetDigest()),
		state:   entryState(record.GetState()),
		expires: Age(record.GetExpires()),
	}
	if entry.state != entryFinished {
		entry.details = &claimDetails{kind: record.GetKind(), key: record.GetKey(), node: record.GetNode()}
	}
	if record.GetAnswer() != nil {
		entry.keptAnswer = &keptAnswer{answer: record.GetAnswer(), expires: Age(record.GetAnswerExpires())}
	}
	table.entries[id] = entry
	if entry.state == entryFinished {
		table.claimExpiries.add(entry.nextExpiry(), id)
	}
	return nil
}
