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

// Parse decodes a configuration and checks the whole of it. The error is of type
// [Faults] and lists every fault with its line and field.
func Parse(text []byte) (*Document, error) {
	document := new(Document)
	source, faults := strictjson.Decode(text, document)
	if len(faults) == 1 && faults[0].Field == "" {
		return nil, faults.Err()
	}
	checker := documentChecker{source: source, document: document, faults: faults}
	checker.checkDocument()
	if err := checker.faults.Err(); err != nil {
		return nil, err
	}
	return document, nil
}

// Digest returns the SHA-256 of a text in hexadecimal digits.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}
