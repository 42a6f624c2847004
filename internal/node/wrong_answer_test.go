package node_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/core/balancer"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

// answerFor returns the answer that a call to a path must get: short, or several body
// parts long.
func answerFor(path string) []byte {
	count := 3
	if xxhash.Sum64String(path)%3 == 0 {
		count = 20000
	}
	return bytes.Repeat([]byte(path+" "), count)
}

// fakePeer gives wrong answers of several kinds, chosen by its random source. It
// keeps the ids of earlier calls to answer them again.
type fakePeer struct {
	lock     sync.Mutex
	random   *rand.Rand
	answered []request.CallID
}

func (fake *fakePeer) serve(_ context.Context, stream *peer.Stream) {
	for {
		header := &peerpb.CallHeader{}
		call, err := stream.ReceiveMessage(header)
		if err != nil {
			return
		}
		for frame := (peer.Frame{}); frame.Kind != peer.FrameEnd; {
			if frame, err = stream.Receive(); err != nil {
				return
			}
		}
		fake.answer(stream, call, answerFor(header.GetPath()))
		if stream.Flush() != nil {
			return
		}
	}
}

func (fake *fakePeer) answer(stream *peer.Stream, call request.CallID, body []byte) {
	fake.lock.Lock()
	defer fake.lock.Unlock()
	defer func() { fake.answered = append(fake.answered, call) }()
	other := []byte("the answer of another caller")
	switch fake.random.IntN(9) {
	case 0: // an answer to an earlier call, before the right answer
		if len(fake.answered) > 0 {
			fake.send(stream, fake.answered[len(fake.answered)-1], other, other, false)
		}
	case 1: // the right answer twice
		fake.send(stream, call, body, body, false)
	case 2: // another call's answer instead of the right one
		fake.send(stream, call+1, other, other, false)
		return
	case 3: // a body whose end frame describes half of it and reports an abort
		fake.send(stream, call, body, body[:len(body)/2], true)
		return
	case 4: // a truncated answer whose end frame describes the whole
		fake.send(stream, call, body[:len(body)/2], body, false)
		return
	case 5: // an answer cut off by a closed connection
		_ = stream.AddMessage(peer.FrameMessage, call, &peerpb.AnswerHeader{Status: 200, BodyLength: int64(len(body))})
		stream.Add(peer.Frame{Kind: peer.FrameBody, Call: call, Payload: body[:1]})
		_ = stream.Flush()
		_ = stream.Close()
		return
	case 6: // a frame of another call within the body
		_ = stream.AddMessage(peer.FrameMessage, call, &peerpb.AnswerHeader{Status: 200, BodyLength: -1})
		stream.Add(peer.Frame{Kind: peer.FrameBody, Call: call + 1, Payload: other})
	}
	fake.send(stream, call, body, body, false)
}

// send sends one body in an answer whose end frame describes another.
func (fake *fakePeer) send(stream *peer.Stream, call request.CallID, sent, claimed []byte, aborted bool) {
	_ = stream.AddMessage(peer.FrameMessage, call, &peerpb.AnswerHeader{Status: 200, BodyLength: int64(len(claimed))})
	for start := 0; start < len(sent); start += peer.MaxBodyPartBytes {
		stream.Add(peer.Frame{Kind: peer.FrameBody, Call: call, Payload: sent[start:min(start+peer.MaxBodyPartBytes, len(sent))]})
	}
	_ = stream.AddMessage(peer.FrameEnd, call, &peerpb.End{
		BodyLength: int64(len(claimed)), BodyHash: xxhash.Sum64(claimed), Aborted: aborted, Report: &peerpb.Report{},
	})
}

func TestCallerNeverGetsTruncatedOrForeignAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	entry := startHost(t, "one", "evidencia", http.NotFoundHandler())
	fake := &fakePeer{random: rand.New(rand.NewPCG(uint64(suite.Seed()), 1))}
	listener := listen(t)
	transport := &peer.Transport{Handlers: map[peer.StreamKind]peer.Handler{peer.KindCall: fake.serve}}
	go func() { _ = transport.Serve(t.Context(), listener) }()
	entry.node.Balancer.EjectionTime = time.Nanosecond
	entry.node.Balancer.Update(time.Now(), balancer.View{Service: "agenda", Targets: []balancer.Target{
		{Node: "fake", Incarnation: 1, Address: listener.Addr().String(), Place: testPlace, Slots: 50},
	}})
	whole, refused, broken := 0, 0, 0
	for number := range 400 {
		path := fmt.Sprintf("/visits/%d/checklist", number)
		outgoing, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, entry.callers+path, nil)
		outgoing.Host = "agenda"
		answer, err := http.DefaultClient.Do(outgoing)
		if err != nil {
			broken++
			continue
		}
		content, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		switch {
		case err != nil:
			broken++
		case answer.StatusCode == http.StatusOK:
			g.Expect(bytes.Equal(content, answerFor(path))).To(gomega.BeTrue(), "call %d got %d bytes", number, len(content))
			whole++
		default:
			g.Expect(answer.Header.Get("Content-Type")).To(gomega.Equal("application/problem+json"))
			refused++
		}
	}
	t.Logf("%d whole, %d refused, %d broken connections", whole, refused, broken)
	g.Expect(whole).To(gomega.BeNumerically(">", 50))
	g.Expect(refused).To(gomega.BeNumerically(">", 0))
	g.Expect(broken).To(gomega.BeNumerically(">", 0))
}
