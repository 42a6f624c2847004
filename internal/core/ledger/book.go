package ledger

import (
	"bytes"
	"crypto/sha256"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// id is the first half of the SHA-256 of a claim's kind and key.
type id [16]byte

func claimID(kind, key string) id {
	sum := sha256.New()
	sum.Write([]byte(kind))
	sum.Write([]byte{0})
	sum.Write([]byte(key))
	return id(sum.Sum(nil)[:len(id{})])
}

type heldState uint8

const (
	heldGranted heldState = iota + 1
	heldLost
	heldFinished
)

// held is one claim. A finished one is small: its names and its node are gone,
// and its answer too when that was too large or too old.
type held struct {
	attempt request.AttemptID
	digest  BodyDigest
	state   heldState
	// expires is the age at which a granted claim is in doubt, and at which a
	// finished one is dropped.
	expires Age
	open    *openText
	kept    *keptAnswer
}

type openText struct {
	kind, key, node string
}

type keptAnswer struct {
	answer  *ledgerpb.Answer
	expires Age
}

func (h *held) inDoubt(age Age) bool {
	return h.state == heldLost || h.state == heldGranted && age > h.expires
}

// result is the answer to an attempt that does not hold the claim.
func (h *held) result(age Age, digest []byte) *ledgerpb.ClaimResult {
	result := &ledgerpb.ClaimResult{Age: int64(age)}
	switch {
	case !bytes.Equal(h.digest[:], digest):
		result.State = OtherBody
	case h.state == heldFinished:
		result.State = Finished
		if h.kept != nil {
			result.Answer = h.kept.answer
		}
	case h.inDoubt(age):
		result.State = InDoubt
	default:
		result.State = Running
	}
	return result
}

// book holds the claims.
type book struct {
	claims      map[id]*held
	tombstones  map[request.AttemptID]Age
	settlements []*ledgerpb.Settlement
	claimDates  calendar[id]
	tombDates   calendar[request.AttemptID]
}

func newBook() book {
	return book{
		claims:     make(map[id]*held),
		tombstones: make(map[request.AttemptID]Age),
		claimDates: newCalendar[id](),
		tombDates:  newCalendar[request.AttemptID](),
	}
}

func (b *book) claim(age Age, claim *ledgerpb.Claim) *ledgerpb.ClaimResult {
	attempt, valid := attemptID(claim.GetAttempt())
	if !valid || len(claim.GetDigest()) != len(BodyDigest{}) {
		return &ledgerpb.ClaimResult{State: Closed, Age: int64(age)}
	}
	name := claimID(claim.GetKind(), claim.GetKey())
	if holder, taken := b.claims[name]; taken {
		return b.claimTaken(age, holder, attempt, claim.GetDigest())
	}
	result := &ledgerpb.ClaimResult{State: b.admit(age, attempt, claim), Age: int64(age)}
	if result.GetState() == Granted {
		b.claims[name] = &held{
			attempt: attempt,
			digest:  BodyDigest(claim.GetDigest()),
			state:   heldGranted,
			expires: age + bounded(claim.GetFinishWithin()) + Age(FinishGrace),
			open:    &openText{kind: claim.GetKind(), key: claim.GetKey(), node: claim.GetNode()},
		}
	}
	return result
}

// claimTaken answers an attempt at a claim that is held. An attempt that was
// turned away is closed, so that a copy of its command that the log holds later
// is not granted after the holder released.
func (b *book) claimTaken(age Age, holder *held, attempt request.AttemptID, digest []byte) *ledgerpb.ClaimResult {
	if holder.attempt == attempt && holder.state == heldGranted {
		return &ledgerpb.ClaimResult{State: Granted, Age: int64(age)}
	}
	if holder.attempt != attempt && holder.state != heldFinished {
		b.bury(age, attempt)
	}
	return holder.result(age, digest)
}

// admit decides on an attempt at a claim that nobody holds.
func (b *book) admit(age Age, attempt request.AttemptID, claim *ledgerpb.Claim) ClaimState {
	if _, closed := b.tombstones[attempt]; closed {
		return Closed
	}
	if age-Age(claim.GetSeenAge()) > Age(ClaimLifetime) {
		return TooOld
	}
	if len(b.claims) >= MaxClaims {
		b.bury(age, attempt)
		return Full
	}
	return Granted
}

// bounded reads a time of a command, whose sum with an age must not overflow.
func bounded(nanoseconds int64) Age {
	return Age(min(max(0, nanoseconds), int64(MaxKeep)))
}

func attemptID(text []byte) (request.AttemptID, bool) {
	if len(text) != len(request.AttemptID{}) {
		return request.AttemptID{}, false
	}
	return request.AttemptID(text), true
}

func (b *book) finish(age Age, finish *ledgerpb.Finish) RecordState {
	attempt, valid := attemptID(finish.GetAttempt())
	name := claimID(finish.GetKind(), finish.GetKey())
	holder, taken := b.claims[name]
	switch {
	case !valid || !taken || holder.attempt != attempt:
		return RecordClosed
	case holder.state == heldFinished:
		return Stored
	case finish.GetLost():
		holder.state = heldLost
		return Stored
	}
	var kept *keptAnswer
	if finish.GetAnswer() != nil && finish.GetKeepAnswer() > 0 {
		kept = &keptAnswer{answer: finish.GetAnswer(), expires: age + bounded(finish.GetKeepAnswer())}
	}
	b.close(age, name, holder, finish.GetKeepRecord(), kept)
	return Stored
}

// close turns a claim into the record that its action ran. The record outlives
// each copy of the claim that could still be under way.
func (b *book) close(age Age, name id, holder *held, keep int64, kept *keptAnswer) {
	holder.state = heldFinished
	holder.open = nil
	holder.kept = kept
	holder.expires = age + max(bounded(keep), Age(ClaimLifetime))
	if kept != nil {
		holder.expires = max(holder.expires, kept.expires)
	}
	b.claimDates.add(holder.nextDate(), name)
}

func (h *held) nextDate() Age {
	if h.kept != nil {
		return h.kept.expires
	}
	return h.expires
}

func (b *book) release(age Age, release *ledgerpb.Release) RecordState {
	attempt, valid := attemptID(release.GetAttempt())
	if !valid {
		return RecordClosed
	}
	name := claimID(release.GetKind(), release.GetKey())
	holder, taken := b.claims[name]
	if taken && holder.attempt == attempt {
		if holder.state != heldGranted {
			return RecordClosed
		}
		delete(b.claims, name)
	}
	b.bury(age, attempt)
	return Stored
}

// bury remembers a closed attempt for as long as a copy of its claim can still
// be accepted.
func (b *book) bury(age Age, attempt request.AttemptID) {
	if _, buried := b.tombstones[attempt]; buried {
		return
	}
	expires := age + Age(ClaimLifetime)
	b.tombstones[attempt] = expires
	b.tombDates.add(expires, attempt)
}

func (b *book) expire(age Age) {
	for _, attempt := range b.tombDates.due(age) {
		delete(b.tombstones, attempt)
	}
	for _, name := range b.claimDates.due(age) {
		b.expireClaim(age, name)
	}
}

func (b *book) expireClaim(age Age, name id) {
	holder, taken := b.claims[name]
	if !taken || holder.state != heldFinished {
		return
	}
	if holder.kept != nil && holder.kept.expires < age {
		holder.kept = nil
	}
	if holder.expires < age {
		delete(b.claims, name)
		return
	}
	b.claimDates.add(holder.nextDate(), name)
}
