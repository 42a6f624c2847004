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

// bench is a ledger with the index of its log.
type bench struct {
	machine *ledger.Machine
	index   uint64
}

func newBench() *bench { return &bench{machine: ledger.New()} }

func (b *bench) apply(command []byte) []byte {
	b.index++
	result, err := b.machine.Apply(b.index, command)
	if err != nil {
		panic(err)
	}
	return result
}

func (b *bench) restart() {
	restored := ledger.New()
	if err := restored.Restore(b.machine.Snapshot()); err != nil {
		panic(err)
	}
	b.machine = restored
}

func (b *bench) advance(total time.Duration) {
	for total > 0 {
		step := min(total, ledger.MaxAdvance)
		b.apply(ledger.AdvanceCommand{From: b.machine.Age(), Elapsed: step}.Encode())
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
			script := newBench()
			for number, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
				if strings.HasPrefix(line, "#") {
					continue
				}
				asked, want, _ := strings.Cut(line, " -> ")
				if strings.HasPrefix(line, "since ") {
					asked, want = "since", strings.TrimPrefix(line, "since 1 ")
				}
				got := script.line(strings.Split(asked, " "))
				gomega.NewWithT(t).Expect(got).To(gomega.ContainSubstring(want), "line %d: %s", number+1, line)
			}
		})
	}
}

func (b *bench) line(words []string) string {
	switch words[0] {
	case "restart":
		b.restart()
	case "advance":
		b.advance(duration(words[1]))
	case "jump":
		b.apply(ledger.AdvanceCommand{From: b.machine.Age(), Elapsed: duration(words[1])}.Encode())
	case "step-twice":
		step := ledger.AdvanceCommand{From: b.machine.Age(), Elapsed: duration(words[1])}.Encode()
		b.apply(step)
		b.apply(step)
	case "age":
		return expectSame(time.Duration(b.machine.Age()).String(), words[1])
	case "count":
		return expectSame(fmt.Sprint(b.machine.ClaimCount()), words[1])
	case "text":
		text, _ := b.machine.Text(configuration.Version(words[1][0] - '0'))
		return expectSame(fmt.Sprint(strings.Contains(string(text), `"slots": `+words[3])), "true")
	case "since":
		return fmt.Sprint(b.machine.Since(1, 3, 10))
	case "first":
		return b.submit(ledger.Submission{ID: ledger.PatchID(words[1]), Operator: words[2], Text: []byte(document)})
	case "patch":
		return b.submit(ledger.Submission{
			ID:         ledger.PatchID(words[1]),
			Base:       configuration.Version(words[2][0] - '0'),
			Operator:   words[3],
			Operations: []byte(strings.Join(words[4:], " ")),
		})
	default:
		return b.claimLine(words)
	}
	return ""
}

// expectSame gives a text that contains no expectation if the two differ.
func expectSame(got, want string) string {
	if got != want {
		panic(fmt.Sprintf("got %s, want %s", got, want))
	}
	return ""
}

func (b *bench) claimLine(words []string) string {
	name, key := attemptNamed(words[1]), request.IdempotencyKey("")
	if len(words) > 2 {
		key = request.IdempotencyKey(words[2])
	}
	switch words[0] {
	case "claim":
		command := ledger.ClaimCommand{Kind: "a/b", Key: key, Digest: digest(words[3]), Attempt: name, Node: "n1", FinishWithin: 10 * time.Second}
		if len(words) > 4 {
			command.SeenAge = ledger.Age(duration(strings.TrimPrefix(words[4], "seen=")))
		}
		result, err := ledger.DecodeClaim(b.apply(command.Encode()))
		return claimWord(result, err)
	case "lookup":
		command := ledger.ClaimCommand{Kind: "a/b", Key: request.IdempotencyKey(words[1]), Digest: digest(words[2])}
		result, known := b.machine.Known(command.Encode())
		if !known {
			return "none"
		}
		return claimWord(ledger.DecodeClaim(result))
	case "finish", "lost":
		command := ledger.FinishCommand{Kind: "a/b", Key: key, Attempt: name, Lost: words[0] == "lost", KeepAnswer: time.Hour, KeepRecord: 2 * time.Hour}
		if !command.Lost {
			command.Answer = &ledgerpb.Answer{Status: 201, Body: []byte(words[3])}
		}
		return recordWord(b.apply(command.Encode()))
	case "release":
		return recordWord(b.apply(ledger.ReleaseCommand{Kind: "a/b", Key: key, Attempt: name}.Encode()))
	case "settle":
		command := ledger.SettleCommand{Kind: "a/b", Key: key, Attempt: name, Ran: words[3] == "ran", Operator: words[4], KeepRecord: time.Hour}
		result, err := ledger.DecodeSettle(b.apply(command.Encode()))
		return word(result.GetState().String(), "SETTLE_STATE_") + " " + result.GetSettlement().GetOperator() + errorWord(err)
	}
	panic("unknown command " + words[0])
}

func (b *bench) submit(submission ledger.Submission) string {
	command, err := b.machine.Prepare(submission)
	if err != nil {
		if _, behind := err.(*ledger.BehindError); behind {
			return "behind"
		}
		return "error " + err.Error()
	}
	outcome, err := ledger.DecodePatch(b.apply(command))
	return fmt.Sprintf("%s %d%s", word(outcome.State.String(), "PATCH_STATE_"), outcome.Version, errorWord(err))
}

func claimWord(result ledger.ClaimResult, err error) string {
	text := word(result.State.String(), "CLAIM_STATE_")
	if result.Answer != nil {
		return text + " " + string(result.Answer.GetBody()) + errorWord(err)
	}
	return text + errorWord(err) + "."
}

func recordWord(result []byte) string {
	state, err := ledger.DecodeRecord(result)
	return word(state.String(), "RECORD_STATE_") + errorWord(err)
}

func word(constant, prefix string) string {
	return strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(constant, prefix), "_", "-"))
}

func errorWord(err error) string {
	if err != nil {
		return " " + err.Error()
	}
	return ""
}

func attemptNamed(name string) request.AttemptID {
	var attempt request.AttemptID
	copy(attempt[:], name)
	return attempt
}

func digest(body string) ledger.BodyDigest {
	var sum ledger.BodyDigest
	copy(sum[:], body)
	return sum
}

func duration(text string) time.Duration {
	parsed, err := time.ParseDuration(text)
	if err != nil {
		panic(err)
	}
	return parsed
}
