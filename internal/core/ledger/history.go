package ledger

import (
	"bytes"
	"crypto/sha256"
	"math"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
)

// PatchState is the result of a patch.
type PatchState = ledgerpb.PatchState

// The results of a patch.
const (
	// PatchAccepted means that the patch created a version.
	PatchAccepted = ledgerpb.PatchState_PATCH_STATE_ACCEPTED
	// PatchStale means that the base is not the current version.
	PatchStale = ledgerpb.PatchState_PATCH_STATE_STALE
	// PatchFaulty means that the patch or the resulting document is invalid.
	PatchFaulty = ledgerpb.PatchState_PATCH_STATE_FAULTY
	// PatchOtherContent means that the id was used before for another patch.
	PatchOtherContent = ledgerpb.PatchState_PATCH_STATE_OTHER_CONTENT
	// PatchForgotten means that the base is so old that the outcome of an earlier
	// send may have been dropped; the patch is not decided.
	PatchForgotten = ledgerpb.PatchState_PATCH_STATE_FORGOTTEN
)

// PatchID identifies a patch across retries. The operator's program generates it
// before it first sends the patch.
type PatchID string

// PatchOutcome is the recorded result of a patch.
type PatchOutcome struct {
	ID    PatchID
	State PatchState
	// Version is the version that the patch created, or the current version when
	// the patch was refused.
	Version configuration.Version
	// Base is the version that the patch was made against.
	Base configuration.Version
	// Faults describes why a faulty patch is invalid, one fault a line.
	Faults []string
}

// faultsDropped is shown in place of faults that are no longer stored.
const faultsDropped = "the faults are no longer stored; check the document again"

func decodePatchOutcome(recorded *ledgerpb.PatchOutcome) PatchOutcome {
	decoded := PatchOutcome{
		ID:      PatchID(recorded.GetId()),
		State:   recorded.GetState(),
		Version: configuration.Version(recorded.GetVersion()),
		Base:    configuration.Version(recorded.GetBase()),
		Faults:  recorded.GetFaults(),
	}
	if decoded.State == PatchFaulty && len(decoded.Faults) == 0 {
		decoded.Faults = []string{faultsDropped}
	}
	return decoded
}

// versionHistory holds the current configuration, the differences to its
// earlier versions, and the outcomes of patches.
type versionHistory struct {
	currentText []byte
	versions    []*ledgerpb.Version
	// oldestText is the index in versions of the oldest one whose text is stored.
	oldestText int
	// reverseBytes is the total size of the reverse splices of the versions after it.
	reverseBytes  int
	patchOutcomes []*ledgerpb.PatchOutcome
	outcomeByID   map[string]*ledgerpb.PatchOutcome
	// oldestFaults is the index in patchOutcomes from which on faults are stored, and
	// faultBytes their total size.
	oldestFaults int
	faultBytes   int
	// oldestDecidableBase is the lowest base for which patches are still decided.
	// It is above the base of every accepted or stale patch whose outcome was
	// dropped, so that a retry of such a patch is not decided a second time. It
	// never exceeds the current version, so that a new patch against that version
	// is always decided.
	oldestDecidableBase uint64
}

func newVersionHistory() versionHistory {
	return versionHistory{outcomeByID: make(map[string]*ledgerpb.PatchOutcome)}
}

func (history *versionHistory) currentVersion() uint64 {
	if len(history.versions) == 0 {
		return 0
	}
	return history.versions[len(history.versions)-1].GetNumber()
}

func (history *versionHistory) applyPatch(patch *ledgerpb.Patch) *ledgerpb.PatchOutcome {
	if earlier, ok := history.recordedOutcome(patch.GetId(), patch.GetContent()); ok {
		return earlier
	}
	outcome := &ledgerpb.PatchOutcome{
		Id:      patch.GetId(),
		Base:    patch.GetBase(),
		Version: history.currentVersion(),
		Content: patch.GetContent(),
	}
	if patch.GetBase() < history.oldestDecidableBase {
		outcome.State = PatchForgotten
		return outcome
	}
	history.decide(outcome, patch)
	if patch.GetBase() <= outcome.GetVersion() {
		history.recordOutcome(outcome)
	}
	return outcome
}

// recordedOutcome returns the outcome that is recorded for a patch id, or
// [PatchOtherContent] if that id was used for another patch.
func (history *versionHistory) recordedOutcome(id string, content []byte) (*ledgerpb.PatchOutcome, bool) {
	earlier, ok := history.outcomeByID[id]
	if !ok {
		return nil, false
	}
	if !bytes.Equal(earlier.GetContent(), content) {
		return &ledgerpb.PatchOutcome{Id: id, State: PatchOtherContent, Version: history.currentVersion(), Base: earlier.GetBase()}, true
	}
	return earlier, true
}

func (history *versionHistory) decide(outcome *ledgerpb.PatchOutcome, patch *ledgerpb.Patch) {
	if patch.GetBase() != history.currentVersion() {
		outcome.State = PatchStale
		return
	}
	outcome.State = PatchFaulty
	outcome.Faults = patch.GetFaults()
	if len(patch.GetFaults()) > 0 {
		return
	}
	text, fits := applySplice(history.currentText, patch.GetSplice())
	digest := sha256.Sum256(text)
	if !fits || !bytes.Equal(digest[:], patch.GetTextDigest()) {
		outcome.Faults = []string{"the change does not fit the base; propose the patch again under a new id"}
		return
	}
	history.accept(outcome, patch, text)
}

func (history *versionHistory) accept(outcome *ledgerpb.PatchOutcome, patch *ledgerpb.Patch, text []byte) {
	outcome.State = PatchAccepted
	outcome.Version = history.currentVersion() + 1
	history.versions = append(history.versions, &ledgerpb.Version{
		Number:           outcome.GetVersion(),
		PatchId:          patch.GetId(),
		Operator:         patch.GetOperator(),
		Note:             patch.GetNote(),
		UnixMilliseconds: patch.GetUnixMilliseconds(),
		Back:             newSplice(text, history.currentText),
		TextDigest:       patch.GetTextDigest(),
	})
	history.currentText = text
	history.addReverse(len(history.versions) - 1)
	if len(history.versions) > MaxVersions {
		history.dropOldestVersion()
	}
}

func (history *versionHistory) recordOutcome(outcome *ledgerpb.PatchOutcome) {
	history.patchOutcomes = append(history.patchOutcomes, outcome)
	history.outcomeByID[outcome.GetId()] = outcome
	history.faultBytes += faultSize(outcome)
	for history.faultBytes > MaxFaultBytes {
		history.dropOldestFaults()
	}
	if len(history.patchOutcomes) > MaxOutcomes {
		history.dropOldestOutcome()
	}
}

func (history *versionHistory) dropOldestOutcome() {
	if history.oldestFaults == 0 {
		history.dropOldestFaults()
	}
	dropped := history.patchOutcomes[0]
	history.patchOutcomes = dropFirst(history.patchOutcomes)
	history.oldestFaults--
	delete(history.outcomeByID, dropped.GetId())
	history.oldestDecidableBase = max(history.oldestDecidableBase, dropped.GetVersion())
}

// dropOldestFaults drops the faults of the oldest outcome that may have some. It replaces
// the whole outcome, since a [FrozenState] may share the old one.
func (history *versionHistory) dropOldestFaults() {
	outcome := history.patchOutcomes[history.oldestFaults]
	history.faultBytes -= faultSize(outcome)
	if len(outcome.GetFaults()) > 0 {
		outcome = &ledgerpb.PatchOutcome{
			Id:      outcome.GetId(),
			State:   outcome.GetState(),
			Version: outcome.GetVersion(),
			Base:    outcome.GetBase(),
			Content: outcome.GetContent(),
		}
		history.patchOutcomes[history.oldestFaults] = outcome
		history.outcomeByID[outcome.GetId()] = outcome
	}
	history.oldestFaults++
}

func faultSize(outcome *ledgerpb.PatchOutcome) int {
	size := 0
	for _, fault := range outcome.GetFaults() {
		size += len(fault)
	}
	return size
}

// dropFirst removes the first element without copying the list. The next append
// that exceeds the capacity of the array copies it.
func dropFirst[T any](list []*T) []*T {
	list[0] = nil
	return list[1:]
}

// addReverse counts the reverse splice of the newest version, and drops the oldest ones
// over the limit.
func (history *versionHistory) addReverse(index int) {
	if index <= history.oldestText {
		history.dropReverse(index)
		return
	}
	history.reverseBytes += len(history.versions[index].GetBack().GetInserted())
	for history.reverseBytes > MaxReverseBytes {
		history.dropOldestText()
	}
}

// dropOldestText drops the text of the oldest version that has one.
func (history *versionHistory) dropOldestText() {
	history.oldestText++
	history.reverseBytes -= len(history.versions[history.oldestText].GetBack().GetInserted())
	history.dropReverse(history.oldestText)
}

// dropReverse drops the reverse splice of a version. It replaces the whole version, since
// a [FrozenState] may share the old one.
func (history *versionHistory) dropReverse(index int) {
	version := history.versions[index]
	history.versions[index] = &ledgerpb.Version{
		Number:           version.GetNumber(),
		PatchId:          version.GetPatchId(),
		Operator:         version.GetOperator(),
		Note:             version.GetNote(),
		UnixMilliseconds: version.GetUnixMilliseconds(),
		Back:             droppedReverse,
		TextDigest:       version.GetTextDigest(),
	}
}

func (history *versionHistory) dropOldestVersion() {
	if history.oldestText == 0 {
		history.dropOldestText()
	}
	history.versions = dropFirst(history.versions)
	history.oldestText--
}

// droppedReverse takes the place of a reverse splice that was dropped. It fits no text, so
// that builds without [MaxReverseBytes] also know that the earlier text is not stored.
var droppedReverse = &ledgerpb.Splice{At: math.MaxUint32}

func isDropped(reverse *ledgerpb.Splice) bool {
	return reverse.GetAt() == droppedReverse.GetAt()
}

// textAt reconstructs the text of a version by applying the reverse splices
// from the current text backwards.
func (history *versionHistory) textAt(number uint64) ([]byte, bool) {
	if number == 0 || number > history.currentVersion() || number < history.versions[history.oldestText].GetNumber() {
		return nil, false
	}
	text := history.currentText
	for i := len(history.versions) - 1; history.versions[i].GetNumber() > number; i-- {
		earlier, fits := applySplice(text, history.versions[i].GetBack())
		if !fits {
			return nil, false
		}
		text = earlier
	}
	return text, true
}

// textsAfter adds up the sizes of the changes before it rebuilds a text.
func (history *versionHistory) textsAfter(base, maxInserted uint64) [][]byte {
	newest := len(history.versions) - 1
	first, inserted := newest, uint64(0)
	for ; first >= 0 && history.versions[first].GetNumber() > base; first-- {
		// What the reverse splice removes is what the change inserted.
		inserted += history.versions[first].GetBack().GetRemoved()
		if first <= history.oldestText || inserted >= maxInserted {
			return nil
		}
	}
	texts := make([][]byte, newest-first)
	text, fits := history.currentText, true
	for index := newest; index > first; index-- {
		if index < newest {
			text, fits = applySplice(text, history.versions[index+1].GetBack())
		}
		if !fits {
			return nil
		}
		texts[index-first-1] = text
	}
	return texts
}
