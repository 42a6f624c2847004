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

// deliver writes the answer to the caller. When a large answer is cut off after its
// first bytes were written, the caller's connection is closed.
func (node *Node) deliver(ctx context.Context, writer http.ResponseWriter, outbound *outboundCall, attempt *attempt) {
	answer := &answerWriter{writer: writer, header: attempt.header, length: attempt.header.GetBodyLength()}
	if attempt.complete {
		// The answer to HEAD states the length of a body that is not sent.
		if outbound.method != http.MethodHead {
			answer.length = int64(len(attempt.buffered))
		}
		answer.start()
		_, _ = writer.Write(attempt.buffered)
		node.counters.answers.Inc()
		return
	}
	if err := copyVerified(answer, attempt.buffered, attempt.exchange.Body()); err != nil {
		attempt.exchange.Abort()
		node.abortAnswer(ctx, answer, outbound, callFailure(ctx, outbound, err))
		return
	}
	node.applyReport(outbound, attempt)
	node.counters.answers.Inc()
	if attempt.choice.CrossRegion {
		node.Balancer.Links.AddBytes(time.Now(), attempt.choice.Target.Place.Region, answer.streamedBytes)
	}
}

// abortAnswer refuses a call whose answer was cut off, or closes the caller's
// connection when a part of the answer is written already.
func (node *Node) abortAnswer(ctx context.Context, answer *answerWriter, outbound *outboundCall, refusal *web.Refusal) {
	if !answer.started {
		node.refuse(answer.writer, refusal)
		return
	}
	increment(node.counters.refusals, refusal.Code)
	if outbound.takesNoChunks {
		node.resetOnClose(ctx)
	}
	panic(http.ErrAbortHandler)
}

// resetOnClose makes the close of the caller's connection a reset, as an orderly end would
// complete an answer without a length.
func (node *Node) resetOnClose(ctx context.Context) {
	connection, ok := ctx.Value(connectionKey{}).(callerConnection)
	if !ok {
		return
	}
	if tcp, ok := connection.Conn.(interface{ SetLinger(seconds int) error }); ok {
		if err := tcp.SetLinger(0); err != nil {
			node.logProblem("callers: the connection of an answer that was cut off cannot be reset", err)
		}
	}
}

// answerWriter writes the status and headers of an answer together with its first
// bytes.
type answerWriter struct {
	writer  http.ResponseWriter
	header  *peerpb.AnswerHeader
	length  int64
	started bool
	// streamedBytes counts the bytes of the body that were written.
	streamedBytes int64
}

func (answer *answerWriter) start() {
	answer.started = true
	headers := answer.writer.Header()
	web.DecodeHeaders(headers, answer.header.GetHeaders())
	if _, typed := headers["Content-Type"]; !typed {
		// A nil entry keeps net/http from adding a guessed Content-Type.
		headers["Content-Type"] = nil
	}
	if answer.length >= 0 {
		headers.Set("Content-Length", strconv.FormatInt(answer.length, 10))
	}
	answer.writer.WriteHeader(int(answer.header.GetStatus()))
}

// Write writes a part of the body, and the headers before its first part.
func (answer *answerWriter) Write(data []byte) (int, error) {
	if !answer.started {
		answer.start()
	}
	count, err := answer.writer.Write(data)
	answer.streamedBytes += int64(count)
	return count, err
}

// copyVerified writes the buffered part and the rest of the body. It withholds the
// last part until the end of the body is verified, so that the caller never takes a
// damaged answer for a complete one.
func copyVerified(writer io.Writer, buffered []byte, body io.Reader) error {
	buffers := copyPool.Get().(*copyBuffers)
	defer copyPool.Put(buffers)
	withheld := buffered
	next := buffers.one[:]
	for {
		count, err := io.ReadFull(body, next)
		if count > 0 {
			if _, writeErr := writer.Write(withheld); writeErr != nil {
				return writeErr
			}
			withheld, next = next[:count], buffers.other(next)
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, peer.ErrBodyIncomplete) {
			_, err = writer.Write(withheld)
			return err
		}
		if err != nil {
			return err
		}
	}
}

type copyBuffers struct{ one, two [peer.MaxBodyPartBytes]byte }

// other returns the buffer that is not in use.
func (buffers *copyBuffers) other(used []byte) []byte {
	if &used[0] == &buffers.one[0] {
		return buffers.two[:]
	}
	return buffers.one[:]
}

var copyPool = sync.Pool{New: func() any { return new(copyBuffers) }}
