package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
)

// Limits of a submission.
const (
	maxPatchID    = 64
	maxOperator   = 128
	maxNote       = 1_024
	maxOperations = 256 << 10
	maxText       = 1 << 20
	maxFaults     = 50
)

// Submission is an operator's patch as it was sent.
type Submission struct {
	ID       PatchID
	Base     configuration.Version
	Operator string
	Note     string
	// Operations is an RFC 6902 patch against the base.
	Operations []byte
	// Text is the whole new document, in place of Operations; the first one is
	// always given so.
	Text []byte
	// At is the time of day of the submission, for the history only.
	At time.Time
}

// BehindError says that the replica has not yet applied the version that a
// patch is based on.
type BehindError struct {
	Base    configuration.Version
	Current configuration.Version
}

// Error describes how far the replica is.
func (behindError *BehindError) Error() string {
	return fmt.Sprintf("version %d is not known here, the latest known is %d; look at the versions and send the patch again", behindError.Base, behindError.Current)
}

// Base is the current version, apart from the machine: its text never changes,
// so that a patch can be prepared outside the goroutine that owns the machine.
type Base struct {
	Version configuration.Version
	Text    []byte
}

// Base gives the current version to prepare patches against.
func (machine *Machine) Base() Base {
	return Base{Version: configuration.Version(machine.history.current()), Text: machine.history.text}
}

// Prepare prepares a submission against the current version; see
// [Base.Prepare].
func (machine *Machine) Prepare(submission Submission) ([]byte, error) {
	return machine.Base().Prepare(submission)
}

// Prepare reads and checks a submission and gives the command to propose.
// Faults of the patch are no error here: the command carries them, so that the
// log keeps the outcome. An error means that nothing was decided.
func (base Base) Prepare(submission Submission) ([]byte, error) {
	if err := submission.check(); err != nil {
		return nil, err
	}
	if submission.Base > base.Version {
		return nil, &BehindError{Base: submission.Base, Current: base.Version}
	}
	patch := &ledgerpb.Patch{
		Id:               string(submission.ID),
		Content:          submission.content(),
		Base:             uint64(submission.Base),
		Operator:         submission.Operator,
		Note:             submission.Note,
		UnixMilliseconds: submission.At.UnixMilli(),
	}
	if submission.Base == base.Version {
		base.evaluate(submission, patch)
	}
	return encode(&ledgerpb.Command{Body: &ledgerpb.Command_Patch{Patch: patch}}), nil
}

func (submission Submission) check() error {
	switch {
	case submission.ID == "" || len(submission.ID) > maxPatchID:
		return fmt.Errorf("the patch id has %d bytes; give 1 to %d", len(submission.ID), maxPatchID)
	case submission.Operator == "" || len(submission.Operator) > maxOperator:
		return fmt.Errorf("the operator's name has %d bytes; give 1 to %d", len(submission.Operator), maxOperator)
	case len(submission.Note) > maxNote:
		return fmt.Errorf("the note has %d bytes; give at most %d", len(submission.Note), maxNote)
	case len(submission.Operations) > maxOperations:
		return fmt.Errorf("the patch has %d bytes; split it into patches of at most %d", len(submission.Operations), maxOperations)
	case len(submission.Text) > maxText:
		return fmt.Errorf("the document has %d bytes; at most %d are allowed", len(submission.Text), maxText)
	case submission.Base == 0 && len(submission.Text) == 0:
		return errors.New("the base is 0, before the first version; look at the current version and base the patch on it")
	case len(submission.Text) > 0 && len(submission.Operations) > 0:
		return errors.New("a patch has either a whole document or operations; send one of them")
	}
	return nil
}

// content identifies what the operator sent; each part is preceded by its
// length.
func (submission Submission) content() []byte {
	sum := sha256.New()
	size := make([]byte, 0, 8)
	parts := [][]byte{[]byte(submission.Operator), []byte(submission.Note), submission.Operations, submission.Text}
	sum.Write(binary.BigEndian.AppendUint64(size, uint64(submission.Base)))
	for _, part := range parts {
		sum.Write(binary.BigEndian.AppendUint64(size, uint64(len(part))))
		sum.Write(part)
	}
	return sum.Sum(nil)
}

func (base Base) evaluate(submission Submission, patch *ledgerpb.Patch) {
	text, err := submission.apply(base.Text)
	if err == nil {
		err = base.check(text)
	}
	if err == nil && len(text) > maxText {
		err = fmt.Errorf("the document would have %d bytes; at most %d are allowed", len(text), maxText)
	}
	if err != nil {
		patch.Faults = faultLines(err)
		return
	}
	digest := sha256.Sum256(text)
	patch.TextDigest = digest[:]
	patch.Splice = newSplice(base.Text, text)
}

// check reads the new text and compares it with the current one, which a replica
// of an older build may have accepted under other checks.
func (base Base) check(text []byte) error {
	document, err := configuration.Parse(text)
	if err != nil || base.Version == 0 {
		return err
	}
	current, err := configuration.Parse(base.Text)
	if err != nil {
		return nil
	}
	return configuration.CheckChange(current, document)
}

func (submission Submission) apply(base []byte) ([]byte, error) {
	if len(submission.Text) > 0 {
		return submission.Text, nil
	}
	return configuration.Patch(base, submission.Operations)
}

func faultLines(err error) []string {
	var faults configuration.Faults
	if !errors.As(err, &faults) {
		return []string{err.Error()}
	}
	lines := make([]string, 0, min(len(faults), maxFaults+1))
	for i, fault := range faults {
		if i == maxFaults {
			return append(lines, fmt.Sprintf("and %d more", len(faults)-maxFaults))
		}
		lines = append(lines, fault.String())
	}
	return lines
}
