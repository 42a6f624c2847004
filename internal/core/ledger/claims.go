package ledger

import (
	"bytes"
	"crypto/sha256"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// claimID is the first 16 bytes of the SHA-256 of a claim's kind and key.
type claimID [16]byte

func newClaimID(kind, key string) claimID {
	hash := sha256.New()
	hash.Write([]byte(kind))
	hash.Write([]byte{0})
	hash.Write([]byte(key))
	return claimID(hash.Sum(nil)[:len(claimID{})])
}

type entryState uint8

const (
	entryGranted entryState = iota + 1
	entryLost
	entryFinished
)

// claimEntry is the state of one claim. A finished entry is kept small: it
// drops the details, and the answer if that was too large or has expired.
type claimEntry struct {
	attempt request.AttemptID
	digest  BodyDigest
	state   entryState
	// expires is the age after which a granted claim is in doubt, or after which
	// a finished claim is removed.
	expires    Age
	details    *claimDetails
	keptAnswer *keptAnswer
}

type claimDetails struct {
	kind, key, node string
}

type keptAnswer struct {
	answer  *ledgerpb.Answer
	expires Age
}

func (entry *claimEntry) inDoubt(age Age) bool {
	return entry.state == entryLost || entry.state == entryGranted && age > entry.expires
}

// resultFor returns the answer to an attempt that does not hold the claim.
func (entry *claimEntry) resultFor(age Age, digest []byte) *ledgerpb.ClaimResult {
	result := &ledgerpb.ClaimResult{Age: int64(age)}
	switch {
	case !bytes.Equal(entry.digest[:], digest):
		result.State = ClaimOtherBody
	case entry.state == entryFinished:
		result.State = ClaimFinished
		if entry.keptAnswer != nil {
			result.Answer = entry.keptAnswer.answer
		}
	case entry.inDoubt(age):
		result.State = ClaimInDoubt
	default:
		result.State = ClaimRunning
	}
	return result
}

// claimTable holds the claims, the tombstones of closed attempts and the
// settlements that operators made.
type claimTable struct {
	entries           map[claimID]*claimEntry
	tombstones        map[request.AttemptID]Age
	settlements       []*ledgerpb.Settlement
	claimExpiries     expiryBuckets[claimID]
	tombstoneExpiries expiryBuckets[request.AttemptID]
}

func newClaimTable() claimTable {
	return claimTable{
		entries:           make(map[claimID]*claimEntry),
		tombstones:        make(map[request.AttemptID]Age),
		claimExpiries:     newExpiryBuckets[claimID](),
		tombstoneExpiries: newExpiryBuckets[request.AttemptID](),
	}
}

func (table *claimTable) claim(age Age, claim *ledgerpb.Claim) *ledgerpb.ClaimResult {
	attempt, valid := parseAttemptID(claim.GetAttempt())
	if !valid || len(claim.GetDigest()) != len(BodyDigest{}) {
		return &ledgerpb.ClaimResult{State: ClaimClosed, Age: int64(age)}
	}
	id := newClaimID(claim.GetKind(), claim.GetKey())
	if entry, exists := table.entries[id]; exists {
		return table.claimExisting(age, entry, attempt, claim.GetDigest())
	}
	result := &ledgerpb.ClaimResult{State: table.claimFree(age, attempt, claim), Age: int64(age)}
	if result.GetState() == ClaimGranted {
		table.entries[id] = &claimEntry{
			attempt: attempt,
			digest:  BodyDigest(claim.GetDigest()),
			state:   entryGranted,
			expires: age + clampDuration(claim.GetFinishWithin()) + Age(FinishGrace),
			details: &claimDetails{kind: claim.GetKind(), key: claim.GetKey(), node: claim.GetNode()},
		}
	}
	return result
}

// claimExisting answers an attempt at a claim that is in the table. An attempt
// that is refused while the claim is open gets a tombstone, so that a later copy
// of its command is not granted after the holder has released the claim.
func (table *claimTable) claimExisting(age Age, entry *claimEntry, attempt request.AttemptID, digest []byte) *ledgerpb.ClaimResult {
	if entry.attempt == attempt && entry.state == entryGranted {
		return &ledgerpb.ClaimResult{State: ClaimGranted, Age: int64(age)}
	}
	if entry.attempt != attempt && entry.state != entryFinished {
		table.addTombstone(age, attempt)
	}
	return entry.resultFor(age, digest)
}

// claimFree decides on an attempt at a claim that is not in the table.
func (table *claimTable) claimFree(age Age, attempt request.AttemptID, claim *ledgerpb.Claim) ClaimState {
	if _, closed := table.tombstones[attempt]; closed {
		return ClaimClosed
	}
	if age-Age(claim.GetSeenAge()) > Age(ClaimCommandLifetime) {
		return ClaimTooOld
	}
	if len(table.entries) >= MaxClaims {
		table.addTombstone(age, attempt)
		return ClaimsFull
	}
	return ClaimGranted
}

// clampDuration limits a duration from a command to [MaxRetention], so that
// adding it to an age does not overflow.
func clampDuration(nanoseconds int64) Age {
	return Age(min(max(0, nanoseconds), int64(MaxRetention)))
}

func parseAttemptID(text []byte) (request.AttemptID, bool) {
	if len(text) != len(request.AttemptID{}) {
		return request.AttemptID{}, false
	}
	return request.AttemptID(text), true
}

func (table *claimTable) finish(age Age, finish *ledgerpb.Finish) RecordState {
	attempt, valid := parseAttemptID(finish.GetAttempt())
	id := newClaimID(finish.GetKind(), finish.GetKey())
	entry, exists := table.entries[id]
	switch {
	case !valid || !exists || entry.attempt != attempt:
		return RecordClosed
	case entry.state == entryFinished:
		return RecordStored
	case finish.GetLost():
		entry.state = entryLost
		return RecordStored
	}
	var kept *keptAnswer
	if finish.GetAnswer() != nil && finish.GetKeepAnswer() > 0 {
		kept = &keptAnswer{answer: finish.GetAnswer(), expires: age + clampDuration(finish.GetKeepAnswer())}
	}
	table.markFinished(age, id, entry, finish.GetKeepRecord(), kept)
	return RecordStored
}

// markFinished records that the action of a claim ran. The record is kept for at
// least [ClaimCommandLifetime], longer than any copy of the claim command can be
// in flight.
func (table *claimTable) markFinished(age Age, id claimID, entry *claimEntry, keep int64, kept *keptAnswer) {
	entry.state = entryFinished
	entry.details = nil
	entry.keptAnswer = kept
	entry.expires = age + max(clampDuration(keep), Age(ClaimCommandLifetime))
	if kept != nil {
		entry.expires = max(entry.expires, kept.expires)
	}
	table.claimExpiries.add(entry.nextExpiry(), id)
}

func (entry *claimEntry) nextExpiry() Age {
	if entry.keptAnswer != nil {
		return entry.keptAnswer.expires
	}
	return entry.expires
}

func (table *claimTable) release(age Age, release *ledgerpb.Release) RecordState {
	attempt, valid := parseAttemptID(release.GetAttempt())
	if !valid {
		return RecordClosed
	}
	id := newClaimID(release.GetKind(), release.GetKey())
	entry, exists := table.entries[id]
	if exists && entry.attempt == attempt {
		if entry.state != entryGranted {
			return RecordClosed
		}
		delete(table.entries, id)
	}
	table.addTombstone(age, attempt)
	return RecordStored
}

// addTombstone remembers a closed attempt for as long as a copy of its claim
// command could still be granted.
func (table *claimTable) addTombstone(age Age, attempt request.AttemptID) {
	if _, exists := table.tombstones[attempt]; exists {
		return
	}
	expires := age + Age(ClaimCommandLifetime)
	table.tombstones[attempt] = expires
	table.tombstoneExpiries.add(expires, attempt)
}

func (table *claimTable) expire(age Age) {
	for _, attempt := range table.tombstoneExpiries.popExpired(age) {
		delete(table.tombstones, attempt)
	}
	for _, id := range table.claimExpiries.popExpired(age) {
		table.expireClaim(age, id)
	}
}

func (table *claimTable) expireClaim(age Age, id claimID) {
	entry, exists := table.entries[id]
	if !exists || entry.state != entryFinished {
		return
	}
	if entry.keptAnswer != nil && entry.keptAnswer.expires < age {
		entry.keptAnswer = nil
	}
	if entry.expires < age {
		delete(table.entries, id)
		return
	}
	table.claimExpiries.add(entry.nextExpiry(), id)
}
