// Package distribution sends the accepted versions of the configuration to all
// nodes. A node only ever moves to a higher version.
//
// A replica has a [Publisher] with the newest text and the latest patches. A node
// has a [Follower], which tells the replica its version. The replica sends it
// the patches since that version, or the whole text if it no longer has these
// patches, or if the digests differ. A [Tracker] on each replica records which
// versions are in force in each failure domain.
//
// A node that has just started cannot tell whether a version that it is offered
// is outdated. It installs a version at once if the replica confirmed by a
// quorum read that it is the newest. Otherwise it waits for
// [Follower.UnconfirmedWait] and then installs the highest version that it was
// offered.
//
// # Usage
//
//	publisher := &distribution.Publisher{}
//	err := publisher.Publish(distribution.Version{Number: 7, Text: text, Patch: patch})
//	update, ok := publisher.Offer(held, confirmed)
//
//	follower := &distribution.Follower{Patch: configuration.Patch}
//	result := follower.Apply(now, update)
//	if result.Changed {
//		use(follower.Text())
//	}
//
// The types are not safe for concurrent use.
package distribution

import (
	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawall/magnoliawall/internal/configuration"
)

// Digest is the 64-bit xxHash of the text of a version.
type Digest uint64

// DigestOf returns the digest of a text.
func DigestOf(text []byte) Digest {
	return Digest(xxhash.Sum64(text))
}

// Version is an accepted version of the configuration, read from the quorum log.
type Version struct {
	Number configuration.Version
	Text   []byte
	// Patch is the encoded change from the text of the previous version to this
	// one, in the format that [Follower.Patch] applies, for example an RFC 6902
	// patch. If it is nil, nodes get the whole text.
	Patch []byte
}

// VersionID identifies the version that a node has in force. The zero value means
// that it has none.
type VersionID struct {
	Number configuration.Version
	Digest Digest
}

// Step is the patch from the previous version to this one, with the digest of the
// resulting text.
type Step struct {
	Number configuration.Version
	Patch  []byte
	Digest Digest
}

// Update brings a node to version Number, the newest one that a replica knows.
// It holds either Steps from the version Base, or the whole Text.
type Update struct {
	Base   VersionID
	Steps  []Step
	Number configuration.Version
	Text   []byte
	Digest Digest
	// Confirmed says that a quorum read confirmed that Number is the newest
	// accepted version.
	Confirmed bool
}
