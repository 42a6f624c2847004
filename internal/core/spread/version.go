// Package spread brings each accepted version of the configuration to every
// node, in order and never back.
//
// A replica has a [Publisher] that holds the newest text and the latest
// patches. A node has a [Follower] that says which version it has; it gets the
// patches since then, or the whole text when its base is not known or a digest
// differs. A [Tracker] tells which versions are in force in each failure domain.
//
// A node that has just started has no version to hold against an older one. It
// takes at once what a replica confirms as the newest by a quorum read, and
// otherwise waits StartWait for a newer offer.
//
// # Usage
//
//	publisher := &spread.Publisher{}
//	err := publisher.Publish(spread.Version{Number: 7, Text: text, Patch: patch})
//	update, ok := publisher.Offer(held, confirmed)
//
//	follower := &spread.Follower{Patch: configuration.Patch}
//	result := follower.Apply(now, update)
//	if result.Changed {
//		use(follower.Text())
//	}
//
// A value of these types belongs to one goroutine.
package spread

import (
	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
)

// Digest stands for the text of a version.
type Digest uint64

// DigestOf hashes the text of a version.
func DigestOf(text []byte) Digest {
	return Digest(xxhash.Sum64(text))
}

// Version is one accepted version as the quorum log gives it.
type Version struct {
	Number configuration.Version
	Text   []byte
	// Patch is the RFC 6902 patch that leads here from the version before;
	// without one, nodes get the whole text.
	Patch []byte
}

// Held is what a node has in force; the zero value is nothing.
type Held struct {
	Number configuration.Version
	Digest Digest
}

// Step is one version as a patch on the one before.
type Step struct {
	Number configuration.Version
	Patch  []byte
	Digest Digest
}

// Update brings a node to the newest version that a replica knows: by Steps
// from the version Base, or by the whole Text of the version Number.
type Update struct {
	Base   Held
	Steps  []Step
	Number configuration.Version
	Text   []byte
	Digest Digest
	// Confirmed says that a quorum read showed the version to be the newest.
	Confirmed bool
}
