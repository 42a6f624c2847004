package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
)

// deliver writes the answer to the caller. A large answer that is cut after its
// first bytes went out breaks the caller's connection.
func (no *Node) deliver(ctx context.Context, writer http.ResponseWriter, og *outgoing, at *attempt) {
	answer := &answerWriter{writer: writer, header: at.header, length: at.header.GetBodyLength()}
	if at.whole {
		// The answer to HEAD tells the length of a body that it does not have.
		if og.method != http.MethodHead {
			answer.length = int64(len(at.held))
		}
		answer.start()
		_, _ = writer.Write(at.held)
		no.counters.answers.Inc()
		return
	}
	if err := copyWhole(answer, at.held, at.exchange.Body()); err != nil {
		at.exchange.Abort()
		no.breakOff(writer, answer, callFailure(ctx, og, err))
		return
	}
	no.settle(og, at)
	no.counters.answers.Inc()
	if at.choice.Across {
		no.Chooser.Links.Count(time.Now(), at.choice.Target.Place.Region, answer.streamed)
	}
}

// breakOff refuses a call whose answer was cut, or breaks its connection when
// a part of the answer is out already.
func (no *Node) breakOff(writer http.ResponseWriter, answer *answerWriter, refusal *web.Refusal) {
	if !answer.started {
		no.refuse(writer, refusal)
		return
	}
	count(no.counters.refusals, refusal.Code)
	panic(http.ErrAbortHandler)
}

// answerWriter writes the head of an answer together with its first bytes.
type answerWriter struct {
	writer  http.ResponseWriter
	header  *peerpb.AnswerHeader
	length  int64
	started bool
	// streamed counts the bytes of the body that went out.
	streamed int64
}

func (aw *answerWriter) start() {
	aw.started = true
	headers := aw.writer.Header()
	web.DecodeHeaders(headers, aw.header.GetHeaders())
	if _, typed := headers["Content-Type"]; !typed {
		// Keeps net/http from guessing what the target did not say.
		headers["Content-Type"] = nil
	}
	if aw.length >= 0 {
		headers.Set("Content-Length", strconv.FormatInt(aw.length, 10))
	}
	aw.writer.WriteHeader(int(aw.header.GetStatus()))
}

// Write writes a part of the body.
func (aw *answerWriter) Write(data []byte) (int, error) {
	if !aw.started {
		aw.start()
	}
	count, err := aw.writer.Write(data)
	aw.streamed += int64(count)
	return count, err
}

// copyWhole writes what is held and the rest of the body. It holds back the
// last part until the end of the body has proved right, so that the caller
// never takes a wrong answer for a whole one.
func copyWhole(writer io.Writer, held []byte, body io.Reader) error {
	buffers := copyPool.Get().(*copyBuffers)
	defer copyPool.Put(buffers)
	back := held
	next := buffers.one[:]
	for {
		count, err := io.ReadFull(body, next)
		if count > 0 {
			if _, writeErr := writer.Write(back); writeErr != nil {
				return writeErr
			}
			back, next = next[:count], buffers.other(next)
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, peer.ErrBodyCut) {
			_, err = writer.Write(back)
			return err
		}
		if err != nil {
			return err
		}
	}
}

type copyBuffers struct{ one, two [peer.BodyPart]byte }

// other gives the buffer that is not in use.
func (buffers *copyBuffers) other(used []byte) []byte {
	if &used[0] == &buffers.one[0] {
		return buffers.two[:]
	}
	return buffers.one[:]
}

var copyPool = sync.Pool{New: func() any { return new(copyBuffers) }}
