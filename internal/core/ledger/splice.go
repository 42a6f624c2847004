package ledger

import (
	"bytes"
	"slices"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
)

// newSplice describes how the earlier text becomes the later one, by the part
// between what both have in common at their start and at their end.
func newSplice(before, after []byte) *ledgerpb.Splice {
	limit := min(len(before), len(after))
	start := 0
	for start < limit && before[start] == after[start] {
		start++
	}
	end := 0
	for end < limit-start && before[len(before)-1-end] == after[len(after)-1-end] {
		end++
	}
	return &ledgerpb.Splice{
		At:       uint64(start),
		Removed:  uint64(len(before) - start - end),
		Inserted: bytes.Clone(after[start : len(after)-end]),
	}
}

// splice gives the changed text, or false if the splice does not fit it.
func splice(text []byte, change *ledgerpb.Splice) ([]byte, bool) {
	at, removed, size := change.GetAt(), change.GetRemoved(), uint64(len(text))
	if at > size || removed > size-at {
		return nil, false
	}
	return slices.Concat(text[:at], change.GetInserted(), text[at+removed:]), true
}
