package ledger

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
)

// ErrDeltaMismatch reports a delta that cannot be decoded or whose offsets are
// outside the text that it is applied to.
var ErrDeltaMismatch = errors.New("the delta cannot be applied to this text")

// Delta returns the encoded change that turns one text into another.
func Delta(before, after []byte) []byte {
	return encode(newSplice(before, after))
}

// ApplyDelta applies the result of [Delta] to the text before the change and
// returns the text after it. The text is not checked to be the one that the
// delta was computed from.
func ApplyDelta(text, delta []byte) ([]byte, error) {
	decoded := new(ledgerpb.Splice)
	if err := proto.Unmarshal(delta, decoded); err != nil {
		return nil, ErrDeltaMismatch
	}
	after, fits := applySplice(text, decoded)
	if !fits {
		return nil, ErrDeltaMismatch
	}
	return after, nil
}
