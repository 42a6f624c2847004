package node

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/onsi/gomega"
)

// endlessReader counts the bytes that are read of it.
type endlessReader struct{ read int64 }

func (reader *endlessReader) Read(data []byte) (int, error) {
	reader.read += int64(len(data))
	return len(data), nil
}

// Guards against answers without end, and against many large ones, that take all memory of a
// node, so that all its calls end with its process (LOST).
func TestAnswerMemoryIsBounded(t *testing.T) {
	errBroken := errors.New("broken")
	cases := []struct {
		name   string
		held   int64
		body   io.Reader
		length int64
		err    error
		taken  int64
	}{
		{"whole", 0, bytes.NewReader(make([]byte, 100)), 100, nil, 100},
		{"without length", 0, bytes.NewReader(make([]byte, 2*answerPartBytes)), -1, nil, 2 * answerPartBytes},
		{"shorter than stated", 0, bytes.NewReader(nil), 100, nil, 0},
		{"largest", 0, bytes.NewReader(make([]byte, maxClaimedAnswerBytes)), maxClaimedAnswerBytes, nil, maxClaimedAnswerBytes},
		{"without end", 0, &endlessReader{}, -1, errAnswerTooLarge, 0},
		{"stated too large", 0, &endlessReader{}, maxClaimedAnswerBytes + 1, errAnswerTooLarge, 0},
		{"broken off", 0, io.MultiReader(bytes.NewReader(make([]byte, 100)), brokenReader{errBroken}), 200, errBroken, 0},
		{"no memory, length known", maxHeldAnswerBytes - 99, &endlessReader{}, 100, errNoAnswerMemory, 0},
		{"no memory, without length", maxHeldAnswerBytes - answerPartBytes, &endlessReader{}, -1, errNoAnswerMemory, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			memory := &answerMemory{}
			memory.hold(test.held)
			body, err := memory.read(test.body, test.length)
			if test.err != nil {
				expect(err).To(gomega.MatchError(test.err))
			} else {
				expect(err).NotTo(gomega.HaveOccurred())
				expect(body).To(gomega.HaveLen(int(test.taken)))
			}
			expect(memory.used.Load()).To(gomega.Equal(test.held + test.taken))
			if endless, ok := test.body.(*endlessReader); ok {
				expect(endless.read).To(gomega.BeNumerically("<=", maxClaimedAnswerBytes+answerPartBytes))
			}
		})
	}
}

type brokenReader struct{ err error }

func (reader brokenReader) Read([]byte) (int, error) { return 0, reader.err }
