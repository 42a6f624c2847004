package configuration

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/magnoliawall/magnoliawall/internal/strictjson"
)

// Faults lists everything that is wrong with a configuration.
type Faults = strictjson.Faults

// Fault is one thing that is wrong with a configuration.
type Fault = strictjson.Fault

// Parse reads a configuration and checks the whole of it. The error is of type
// [Faults] and names every fault with its line and field.
func Parse(text []byte) (*Document, error) {
	document := new(Document)
	source, faults := strictjson.Decode(text, document)
	if len(faults) == 1 && faults[0].Field == "" {
		return nil, faults.Err()
	}
	check := checker{source: source, document: document, faults: faults}
	check.all()
	if err := check.faults.Err(); err != nil {
		return nil, err
	}
	return document, nil
}

// Digest identifies a text: the SHA-256 of its bytes in hexadecimal digits.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}
