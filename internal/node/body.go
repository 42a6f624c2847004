package node

import (
	"bytes"
	"errors"
	"io"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
)

var errBodyTooLarge = errors.New("body is over the limit of its kind")

// callBody is the body of an outgoing call. A small one is held and can be
// sent again; a large one is read from the caller only once a target's node
// consents to take it.
type callBody struct {
	held   []byte
	rest   io.Reader
	length int64
	used   bool
	limit  *limitedBody
}

// newCallBody reads a small body, and the first part of one whose length is
// not known.
func newCallBody(source io.Reader, length, limit int64) (*callBody, error) {
	if length > limit {
		return nil, errBodyTooLarge
	}
	if length == 0 || source == nil {
		return &callBody{}, nil
	}
	limited := &limitedBody{source: source, left: limit}
	if length > peer.BodyPart {
		return &callBody{rest: limited, length: length, limit: limited}, nil
	}
	held, err := io.ReadAll(io.LimitReader(limited, peer.BodyPart))
	if err != nil {
		return nil, err
	}
	if len(held) < peer.BodyPart || length >= 0 {
		return &callBody{held: held, length: int64(len(held))}, nil
	}
	return &callBody{held: held, rest: limited, length: -1, limit: limited}, nil
}

// large tells whether the body awaits the consent of a target's node.
func (cb *callBody) large() bool {
	return cb.rest != nil
}

// lost tells whether the body cannot be sent again.
func (cb *callBody) lost() bool {
	return cb.large() && cb.used
}

// tooLarge tells whether the body was cut for going over its limit.
func (cb *callBody) tooLarge() bool {
	return cb.limit != nil && cb.limit.over
}

// reader gives the body for one attempt.
func (cb *callBody) reader() io.Reader {
	if !cb.large() {
		return bytes.NewReader(cb.held)
	}
	return &largeBody{body: cb, source: io.MultiReader(bytes.NewReader(cb.held), cb.rest)}
}

type largeBody struct {
	body   *callBody
	source io.Reader
}

// Read marks the body as used, since what was read is gone.
func (lb *largeBody) Read(data []byte) (int, error) {
	lb.body.used = true
	return lb.source.Read(data)
}

// limitedBody fails once more than its limit was read.
type limitedBody struct {
	source io.Reader
	left   int64
	over   bool
}

// Read returns errBodyTooLarge in place of the byte over the limit.
func (body *limitedBody) Read(data []byte) (int, error) {
	if int64(len(data)) > body.left+1 {
		data = data[:body.left+1]
	}
	count, err := body.source.Read(data)
	if int64(count) > body.left {
		body.over = true
		return 0, errBodyTooLarge
	}
	body.left -= int64(count)
	return count, err
}
