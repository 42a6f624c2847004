package ledger

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
)

// ErrDelta tells that a delta does not fit the text that it is applied to.
var ErrDelta = errors.New("the delta does not fit the text")

// Delta gives what turns one text into another, encoded.
func Delta(before, after []byte) []byte {
	return encode(newSplice(before, after))
}

// ApplyDelta turns a text into the one that [Delta] was made for.
func ApplyDelta(text, delta []byte) ([]byte, error) {
	decoded := new(ledgerpb.Splice)
	if err := proto.Unmarshal(delta, decoded); err != nil {
		return nil, ErrDelta
	}
	after, fits := splice(text, decoded)
	if !fits {
		return nil, ErrDelta
	}
	return after, nil
}
