package node

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

const (
	// maxClaimedAnswerBytes is the largest answer of an action that may run only once.
	maxClaimedAnswerBytes = 4 << 20
	// maxHeldAnswerBytes bounds the sum of the answers of all such actions that a node holds.
	maxHeldAnswerBytes = 8 * maxClaimedAnswerBytes
	// answerPartBytes is how much of an answer is read before more memory is taken for it.
	answerPartBytes = 64 << 10
)

var (
	errAnswerTooLarge = errors.New("the answer is larger than those of claimed calls may be")
	errNoAnswerMemory = errors.New("the node holds as many bytes of answers as it may")
)

// answerMemory counts the bytes of the answers of claimed calls, which are held whole from
// the first byte until they are recorded and written to their callers. The zero value is
// ready for use.
type answerMemory struct{ used atomic.Int64 }

// take counts bytes, unless there is no room for them.
func (memory *answerMemory) take(count int64) bool {
	if memory.used.Add(count) <= maxHeldAnswerBytes {
		return true
	}
	memory.give(count)
	return false
}

// hold counts bytes that are held in any case.
func (memory *answerMemory) hold(count int64) { memory.used.Add(count) }

func (memory *answerMemory) give(count int64) { memory.used.Add(-count) }

// mayLack reports whether there may be no room for one more answer.
func (memory *answerMemory) mayLack() bool {
	return memory.used.Load() > maxHeldAnswerBytes-maxClaimedAnswerBytes
}

// read reads the whole body of an answer and takes memory for it, at once where its length
// is known. A length of -1 means unknown. After an error it has taken none.
func (memory *answerMemory) read(body io.Reader, length int64) ([]byte, error) {
	taken := max(length, 0)
	if taken > maxClaimedAnswerBytes {
		return nil, errAnswerTooLarge
	}
	if !memory.take(taken) {
		return nil, errNoAnswerMemory
	}
	content := bytes.Buffer{}
	for {
		_, readErr := io.CopyN(&content, body, answerPartBytes)
		missing := max(int64(content.Len())-taken, 0)
		err := readErr
		switch {
		case content.Len() > maxClaimedAnswerBytes:
			err = errAnswerTooLarge
		case !memory.take(missing):
			err = errNoAnswerMemory
		default:
			taken += missing
		}
		if errors.Is(err, io.EOF) {
			memory.give(taken - int64(content.Len()))
			return content.Bytes(), nil
		}
		if err != nil {
			memory.give(taken)
			return nil, err
		}
	}
}
