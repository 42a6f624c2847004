package answer_test

import (
	"bytes"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magnoliawall/magnoliawall/internal/suite"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/answer"
)

func TestCheckAcceptsOnlyCompleteAnswerToSameRequest(t *testing.T) {
	suite.Check(t, 500, func(r *rapid.T) {
		expect := gomega.NewWithT(r).Expect
		nonce := rapid.StringMatching(`[a-z0-9-]{1,20}`).Draw(r, "nonce")
		size := rapid.IntRange(0, 5000).Draw(r, "size")
		body := answer.Encode(nonce, size)
		expect(answer.Check(body, nonce)).To(gomega.Succeed())
		expect(answer.Check(body, nonce+"x")).To(gomega.MatchError(answer.ErrOtherRequest))

		cut := rapid.IntRange(0, len(body)-1).Draw(r, "cut")
		expect(answer.Check(body[:cut], nonce)).NotTo(gomega.Succeed())

		damaged := bytes.Clone(body)
		damaged[rapid.IntRange(0, len(body)-1).Draw(r, "at")] ^= 0x80
		expect(answer.Check(damaged, nonce)).NotTo(gomega.Succeed())
	})
}
