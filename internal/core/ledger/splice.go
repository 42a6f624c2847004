package ledger

import (
	"bytes"
	"slices"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger/ledgerpb"
)

// newSplice returns the change from one text to another: the bytes between their
// common prefix and their common suffix are replaced.
func newSplice(before, after []byte) *ledgerpb.Splice {
	shorter := min(len(before), len(after))
	prefix := 0
	for prefix < shorter && before[prefix] == after[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < shorter-prefix && before[len(before)-1-suffix] == after[len(after)-1-suffix] {
		suffix++
	}
	return &ledgerpb.Splice{
		At:       uint64(prefix),
		Removed:  uint64(len(before) - prefix - suffix),
		Inserted: bytes.Clone(after[prefix : len(after)-suffix]),
	}
}

// applySplice returns the changed text, or false if the offsets of the splice
// are outside the text.
func applySplice(text []byte, change *ledgerpb.Splice) ([]byte, bool) {
	at, removed, size := change.GetAt(), change.GetRemoved(), uint64(len(text))
	if at > size || removed > size-at {
		return nil, false
	}
	return slices.Concat(text[:at], change.GetInserted(), text[at+removed:]), true
}
