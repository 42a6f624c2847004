package ledger_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const document = `{
	// The smallest whole document.
	"importances": ["low"],
	"services": {"front": {"slots": 5, "connections": 5000, "kinds": {
		"read": {"method": "GET", "path": "/", "importance": "low", "repeat": "repeatable", "deadline": "1s"}}}},
}`

// testReplica is a state machine with the index of the last log entry.
type testReplica struct {
	machine *ledger.Machine
	index   uint64
}

func newTestReplica() *testReplica { return &testReplica{machine: ledger.New()} }

func (replica *testReplica) apply(command []byte) []byte {
	replica.index++
	result, err := replica.machine.Apply(replica.index, command)
	if err != nil {
		panic(err)
	}
	return result
}

func (replica *testReplica) restartFromSnapshot() {
	restored := ledger.New()
	if err := restored.Restore(replica.machine.Snapshot()); err != nil {
		panic(err)
	}
	replica.machine = restored
}

func (replica *testReplica) advance(total time.Duration) {
	for total > 0 {
		step := min(total, ledger.MaxAdvanceStep)
		replica.apply(ledger.AdvanceCommand{From: replica.machine.Age(), Elapsed: step}.Encode())
		total -= step
	}
}

func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*/*.txt")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	gomega.NewWithT(t).Expect(len(files)).To(gomega.BeNumerically(">", 5))
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
			replica := newTestReplica()
			for number, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
				if strings.HasPrefix(line, "#") {
					continue
				}
				command, want, _ := strings.Cut(line, " -> ")
				if strings.HasPrefix(line, "since ") {
					command, want = "since", strings.TrimPrefix(line, "since 1 ")
				}
				got := replica.runLine(strings.Split(command, " "))
				gomega.NewWithT(t).Expect(got).To(gomega.ContainSubstring(want), "line %d: %s", number+1, line)
			}
		})
	}
}

func (replica *testReplica) runLine(words []string) string {
	switch words[0] {
	case "restart":
		replica.restartFromSnapshot()
	case "advance":
		replica.advance(parseDuration(words[1]))
	case "jump":
		replica.apply(ledger.AdvanceCommand{From: replica.machine.Age(), Elapsed: parseDuration(words[1])}.Encode())
	case "step-twice":
		step := ledger.AdvanceCommand{From: replica.machine.Age(), Elapsed: parseDuration(words[1])}.Encode()
		replica.apply(step)
		replica.apply(step)
	case "age":
		return mustEqual(time.Duration(replica.machine.Age()).String(), words[1])
	case "count":
		return mustEqual(fmt.Sprint(replica.machine.ClaimCount()), words[1])
	case "text":
		text, _ := replica.machine.VersionText(configuration.Version(words[1][0] - '0'))
		return mustEqual(fmt.Sprint(strings.Contains(string(text), `"slots": `+words[3])), "true")
	case "since":
		return fmt.Sprint(replica.machine.VersionChanges(1, 3, 10))
	case "first":
		return replica.submit(ledger.Submission{ID: ledger.PatchID(words[1]), Operator: words[2], Text: []byte(document)})
	case "patch":
		return replica.submit(ledger.Submission{
			ID:         ledger.PatchID(words[1]),
			Base:       configuration.Version(words[2][0] - '0'),
			Operator:   words[3],
			Operations: []byte(strings.Join(words[4:], " ")),
		})
	default:
		return replica.runClaimLine(words)
	}
	return ""
}

// mustEqual panics if the two differ, and otherwise returns the empty result that
// a script line without an expectation has.
func mustEqual(got, want string) string {
	if got != want {
		panic(fmt.Sprintf("got %s, want %s", got, want))
	}
	return ""
}

func (replica *testReplica) runClaimLine(words []string) string {
	attempt, key := newAttemptID(words[1]), request.IdempotencyKey("")
	if len(words) > 2 {
		key = request.IdempotencyKey(words[2])
	}
	switch words[0] {
	case "claim":
		command := ledger.ClaimCommand{Kind: "a/b", Key: key, Digest: newDigest(words[3]), Attempt: attempt, Node: "n1", FinishWithin: 10 * time.Second}
		if len(words) > 4 {
			command.SeenAge = ledger.Age(parseDuration(strings.TrimPrefix(words[4], "seen=")))
		}
		result, err := ledger.DecodeClaim(replica.apply(command.Encode()))
		return formatClaim(result, err)
	case "lookup":
		command := ledger.ClaimCommand{Kind: "a/b", Key: request.IdempotencyKey(words[1]), Digest: newDigest(words[2])}
		result, known := replica.machine.LookupFinished(command.Encode())
		if !known {
			return "none"
		}
		return formatClaim(ledger.DecodeClaim(result))
	case "finish", "lost":
		command := ledger.FinishCommand{Kind: "a/b", Key: key, Attempt: attempt, Lost: words[0] == "lost", AnswerRetention: time.Hour, RecordRetention: 2 * time.Hour}
		if !command.Lost {
			command.Answer = &ledgerpb.Answer{Status: 201, Body: []byte(words[3])}
		}
		return formatRecord(replica.apply(command.Encode()))
	case "release":
		return formatRecord(replica.apply(ledger.ReleaseCommand{Kind: "a/b", Key: key, Attempt: attempt}.Encode()))
	case "settle":
		command := ledger.SettleCommand{Kind: "a/b", Key: key, Attempt: attempt, Ran: words[3] == "ran", Operator: words[4], RecordRetention: time.Hour}
		result, err := ledger.DecodeSettle(replica.apply(command.Encode()))
		return enumWord(result.GetState().String(), "SETTLE_STATE_") + " " + result.GetSettlement().GetOperator() + errorSuffix(err)
	}
	panic("unknown command " + words[0])
}

func (replica *testReplica) submit(submission ledger.Submission) string {
	command, err := replica.machine.Prepare(submission)
	if err != nil {
		if _, behind := err.(*ledger.UnknownBaseError); behind {
			return "behind"
		}
		return "error " + err.Error()
	}
	outcome, err := ledger.DecodePatch(replica.apply(command))
	return fmt.Sprintf("%s %d%s", enumWord(outcome.State.String(), "PATCH_STATE_"), outcome.Version, errorSuffix(err))
}

func formatClaim(result ledger.ClaimResult, err error) string {
	text := enumWord(result.State.String(), "CLAIM_STATE_")
	if result.Answer != nil {
		return text + " " + string(result.Answer.GetBody()) + errorSuffix(err)
	}
	return text + errorSuffix(err) + "."
}

func formatRecord(result []byte) string {
	state, err := ledger.DecodeRecord(result)
	return enumWord(state.String(), "RECORD_STATE_") + errorSuffix(err)
}

func enumWord(constant, prefix string) string {
	return strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(constant, prefix), "_", "-"))
}

func errorSuffix(err error) string {
	if err != nil {
		return " " + err.Error()
	}
	return ""
}

func newAttemptID(name string) request.AttemptID {
	var attempt request.AttemptID
	copy(attempt[:], name)
	return attempt
}

func newDigest(body string) ledger.BodyDigest {
	var bodyDigest ledger.BodyDigest
	copy(bodyDigest[:], body)
	return bodyDigest
}

func parseDuration(text string) time.Duration {
	parsed, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return parsed
}
