package node

import (
	"bytes"
	"errors"
	"io"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
)

var errBodyTooLarge = errors.New("body exceeds the size limit of its kind")

// callBody is the body of an outbound call. A small body is buffered and can be sent
// again. A large one is read from the caller only after a target's node has agreed to
// take it.
type callBody struct {
	buffered []byte
	rest     io.Reader
	length   int64
	consumed bool
	limited  *limitedBody
}

// newCallBody buffers a small body. Of a body of unknown length it buffers the first
// peer.MaxBodyPartBytes bytes. A length of -1 means unknown.
func newCallBody(source io.Reader, length, limit int64) (*callBody, error) {
	if length > limit {
		return nil, errBodyTooLarge
	}
	if length == 0 || source == nil {
		return &callBody{}, nil
	}
	limited := &limitedBody{source: source, left: limit}
	if length > peer.MaxBodyPartBytes {
		return &callBody{rest: limited, length: length, limited: limited}, nil
	}
	held, err := io.ReadAll(io.LimitReader(limited, peer.MaxBodyPartBytes))
	if err != nil {
		return nil, err
	}
	if len(held) < peer.MaxBodyPartBytes || length >= 0 {
		return &callBody{buffered: held, length: int64(len(held))}, nil
	}
	return &callBody{buffered: held, rest: limited, length: -1, limited: limited}, nil
}

// large reports whether the body is sent only after a target's node has agreed to
// take it.
func (body *callBody) large() bool {
	return body.rest != nil
}

// cannotResend reports whether a part of a large body was read, and is thus gone.
func (body *callBody) cannotResend() bool {
	return body.large() && body.consumed
}

// tooLarge reports whether reading stopped because the body exceeded its limit.
func (body *callBody) tooLarge() bool {
	return body.limited != nil && body.limited.exceeded
}

// reader returns the body for one attempt.
func (body *callBody) reader() io.Reader {
	if !body.large() {
		return bytes.NewReader(body.buffered)
	}
	return &consumingReader{body: body, source: io.MultiReader(bytes.NewReader(body.buffered), body.rest)}
}

type consumingReader struct {
	body   *callBody
	source io.Reader
}

// Read marks the body as consumed, since what was read cannot be read again.
func (reader *consumingReader) Read(data []byte) (int, error) {
	reader.body.consumed = true
	return reader.source.Read(data)
}

// limitedBody fails once more bytes than its limit were read.
type limitedBody struct {
	source   io.Reader
	left     int64
	exceeded bool
}

// Read returns errBodyTooLarge in place of the first byte over the limit.
func (body *limitedBody) Read(data []byte) (int, error) {
	if int64(len(data)) > body.left+1 {
		data = data[:body.left+1]
	}
	count, err := body.source.Read(data)
	if int64(count) > body.left {
		body.exceeded = true
		return 0, errBodyTooLarge
	}
	body.left -= int64(count)
	return count, err
}
