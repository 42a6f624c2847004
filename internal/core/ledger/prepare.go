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

// Limits of a submission; maxReportedFaults limits the faults that its outcome
// lists.
const (
	maxPatchIDBytes    = 64
	maxOperatorBytes   = 128
	maxNoteBytes       = 1_024
	maxOperationsBytes = 256 << 10
	maxTextBytes       = 1 << 20
	maxReportedFaults  = 50
)

// Submission is a patch as an operator sent it.
type Submission struct {
	ID       PatchID
	Base     configuration.Version
	Operator string
	Note     string
	// Operations is an RFC 6902 patch against the base.
	Operations []byte
	// Text is the whole new document. It replaces Operations, and is required
	// for the first version.
	Text []byte
	// At is the wall-clock time of the submission; it is only shown in the
	// history.
	At time.Time
}

// UnknownBaseError reports a patch against a version that this replica has not
// applied yet.
type UnknownBaseError struct {
	Base    configuration.Version
	Current configuration.Version
}

// Error names the base and the latest version that the replica has applied.
func (err *UnknownBaseError) Error() string {
	return fmt.Sprintf("this replica does not know the base version %d, its latest is %d; list the versions and send the patch again", err.Base, err.Current)
}

// BaseVersion is the version that patches are prepared against. Its text is never
// modified, so [BaseVersion.Prepare] can run outside the goroutine that owns the
// [Machine].
type BaseVersion struct {
	Version configuration.Version
	Text    []byte
}

// BaseVersion returns the current version to prepare patches against.
func (machine *Machine) BaseVersion() BaseVersion {
	return BaseVersion{Version: configuration.Version(machine.history.currentVersion()), Text: machine.history.currentText}
}

// Prepare calls [BaseVersion.Prepare] for the current version.
func (machine *Machine) Prepare(submission Submission) ([]byte, error) {
	return machine.BaseVersion().Prepare(submission)
}

// Prepare validates a submission and returns the encoded command to propose.
// Faults of the patch are not an error: the command carries them, so that the
// log records the outcome. An error means that the patch was not decided; it is
// an [*UnknownBaseError] if the replica does not know the base yet.
func (base BaseVersion) Prepare(submission Submission) ([]byte, error) {
	if err := submission.check(); err != nil {
		return nil, err
	}
	if submission.Base > base.Version {
		return nil, &UnknownBaseError{Base: submission.Base, Current: base.Version}
	}
	patch := &ledgerpb.Patch{
		Id:               string(submission.ID),
		Content:          submission.contentDigest(),
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
	case submission.ID == "" || len(submission.ID) > maxPatchIDBytes:
		return fmt.Errorf("the patch id has %d bytes; it must have 1 to %d", len(submission.ID), maxPatchIDBytes)
	case submission.Operator == "" || len(submission.Operator) > maxOperatorBytes:
		return fmt.Errorf("the operator's name has %d bytes; it must have 1 to %d", len(submission.Operator), maxOperatorBytes)
	case len(submission.Note) > maxNoteBytes:
		return fmt.Errorf("the note has %d bytes; at most %d are allowed", len(submission.Note), maxNoteBytes)
	case len(submission.Operations) > maxOperationsBytes:
		return fmt.Errorf("the patch has %d bytes; split it into patches of at most %d", len(submission.Operations), maxOperationsBytes)
	case len(submission.Text) > maxTextBytes:
		return fmt.Errorf("the document has %d bytes; at most %d are allowed", len(submission.Text), maxTextBytes)
	case submission.Base == 0 && len(submission.Text) == 0:
		return errors.New("the base is 0, which is before the first version; make the patch against the current version")
	case len(submission.Text) > 0 && len(submission.Operations) > 0:
		return errors.New("the patch has both a document and operations; send only one of them")
	}
	return nil
}

// contentDigest returns the SHA-256 of everything that the operator sent. Each
// part is preceded by its length, so that different parts cannot hash alike.
func (submission Submission) contentDigest() []byte {
	hash := sha256.New()
	length := make([]byte, 0, 8)
	parts := [][]byte{[]byte(submission.Operator), []byte(submission.Note), submission.Operations, submission.Text}
	hash.Write(binary.BigEndian.AppendUint64(length, uint64(submission.Base)))
	for _, part := range parts {
		hash.Write(binary.BigEndian.AppendUint64(length, uint64(len(part))))
		hash.Write(part)
	}
	return hash.Sum(nil)
}

func (base BaseVersion) evaluate(submission Submission, patch *ledgerpb.Patch) {
	text, err := submission.newText(base.Text)
	if err == nil {
		err = base.check(text)
	}
	if err == nil && len(text) > maxTextBytes {
		err = fmt.Errorf("the patched document would have %d bytes; at most %d are allowed", len(text), maxTextBytes)
	}
	if err != nil {
		patch.Faults = faultLines(err)
		return
	}
	digest := sha256.Sum256(text)
	patch.TextDigest = digest[:]
	patch.Splice = newSplice(base.Text, text)
}

// check validates the new text and its differences from the current one. The
// current text is not checked itself: a replica of an older build may have
// accepted it under other rules.
func (base BaseVersion) check(text []byte) error {
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

func (submission Submission) newText(base []byte) ([]byte, error) {
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
	lines := make([]string, 0, min(len(faults), maxReportedFaults+1))
	for i, fault := range faults {
		if i == maxReportedFaults {
			return append(lines, fmt.Sprintf("and %d more", len(faults)-maxReportedFaults))
		}
		lines = append(lines, fault.String())
	}
	return lines
}
