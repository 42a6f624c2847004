package ledger

import (
	"bytes"
	"crypto/sha256"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
)

// PatchState is how a patch ended.
type PatchState = ledgerpb.PatchState

// The ends of a patch.
const (
	// Accepted says that the patch made a version.
	Accepted = ledgerpb.PatchState_PATCH_STATE_ACCEPTED
	// Stale says that the base is not the current version.
	Stale = ledgerpb.PatchState_PATCH_STATE_STALE
	// Faulty says that the patch or the document that it makes has faults.
	Faulty = ledgerpb.PatchState_PATCH_STATE_FAULTY
	// OtherContent says that the id belongs to another patch.
	OtherContent = ledgerpb.PatchState_PATCH_STATE_OTHER_CONTENT
	// Forgotten says that outcomes of this age are no longer kept.
	Forgotten = ledgerpb.PatchState_PATCH_STATE_FORGOTTEN
)

// PatchID names one patch, made by the operator's program before the first
// send.
type PatchID string

// Outcome is how a patch ended.
type Outcome struct {
	ID    PatchID
	State PatchState
	// Version is the accepted version, or the one that was current when the
	// patch was refused.
	Version configuration.Version
	Base    configuration.Version
	Faults  []string
}

func outcome(recorded *ledgerpb.PatchOutcome) Outcome {
	return Outcome{
		ID:      PatchID(recorded.GetId()),
		State:   recorded.GetState(),
		Version: configuration.Version(recorded.GetVersion()),
		Base:    configuration.Version(recorded.GetBase()),
		Faults:  recorded.GetFaults(),
	}
}

// history holds the versions and the outcomes of patches.
type history struct {
	text     []byte
	versions []*ledgerpb.Version
	outcomes []*ledgerpb.PatchOutcome
	byID     map[string]*ledgerpb.PatchOutcome
	// forgottenBase is above the base of each accepted or stale patch whose
	// outcome was dropped. It never exceeds the current version, so that a new
	// patch against that one is always decided.
	forgottenBase uint64
}

func newHistory() history {
	return history{byID: make(map[string]*ledgerpb.PatchOutcome)}
}

func (h *history) current() uint64 {
	if len(h.versions) == 0 {
		return 0
	}
	return h.versions[len(h.versions)-1].GetNumber()
}

func (h *history) patch(patch *ledgerpb.Patch) *ledgerpb.PatchOutcome {
	if first, ok := h.known(patch.GetId(), patch.GetContent()); ok {
		return first
	}
	decided := &ledgerpb.PatchOutcome{
		Id:      patch.GetId(),
		Base:    patch.GetBase(),
		Version: h.current(),
		Content: patch.GetContent(),
	}
	if patch.GetBase() < h.forgottenBase {
		decided.State = Forgotten
		return decided
	}
	h.decide(decided, patch)
	if patch.GetBase() <= decided.GetVersion() {
		h.keep(decided)
	}
	return decided
}

// known gives the first outcome of an id.
func (h *history) known(id string, content []byte) (*ledgerpb.PatchOutcome, bool) {
	first, ok := h.byID[id]
	if !ok {
		return nil, false
	}
	if !bytes.Equal(first.GetContent(), content) {
		return &ledgerpb.PatchOutcome{Id: id, State: OtherContent, Version: h.current(), Base: first.GetBase()}, true
	}
	return first, true
}

func (h *history) decide(decided *ledgerpb.PatchOutcome, patch *ledgerpb.Patch) {
	if patch.GetBase() != h.current() {
		decided.State = Stale
		return
	}
	decided.State = Faulty
	decided.Faults = patch.GetFaults()
	if len(patch.GetFaults()) > 0 {
		return
	}
	text, fits := splice(h.text, patch.GetSplice())
	digest := sha256.Sum256(text)
	if !fits || !bytes.Equal(digest[:], patch.GetTextDigest()) {
		decided.Faults = []string{"the change does not fit the base; propose the patch again under a new id"}
		return
	}
	h.accept(decided, patch, text)
}

func (h *history) accept(decided *ledgerpb.PatchOutcome, patch *ledgerpb.Patch, text []byte) {
	decided.State = Accepted
	decided.Version = h.current() + 1
	h.versions = append(h.versions, &ledgerpb.Version{
		Number:           decided.GetVersion(),
		PatchId:          patch.GetId(),
		Operator:         patch.GetOperator(),
		Note:             patch.GetNote(),
		UnixMilliseconds: patch.GetUnixMilliseconds(),
		Back:             newSplice(text, h.text),
		TextDigest:       patch.GetTextDigest(),
	})
	h.text = text
	if len(h.versions) > MaxVersions {
		h.versions = dropFirst(h.versions)
	}
}

func (h *history) keep(decided *ledgerpb.PatchOutcome) {
	h.outcomes = append(h.outcomes, decided)
	h.byID[decided.GetId()] = decided
	if len(h.outcomes) <= MaxOutcomes {
		return
	}
	dropped := h.outcomes[0]
	h.outcomes = dropFirst(h.outcomes)
	delete(h.byID, dropped.GetId())
	h.forgottenBase = max(h.forgottenBase, dropped.GetVersion())
}

// dropFirst shortens the list, and copies it only when the array is used up.
func dropFirst[T any](list []*T) []*T {
	list[0] = nil
	return list[1:]
}

// textAt walks back from the current text.
func (h *history) textAt(number uint64) ([]byte, bool) {
	if number == 0 || number > h.current() || h.versions[0].GetNumber() > number {
		return nil, false
	}
	text := h.text
	for i := len(h.versions) - 1; h.versions[i].GetNumber() > number; i-- {
		earlier, fits := splice(text, h.versions[i].GetBack())
		if !fits {
			return nil, false
		}
		text = earlier
	}
	return text, true
}
