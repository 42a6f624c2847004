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
	"github.com/magnoliawall/magnoliawall/internal/core/choice"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/suite"
)

// answerFor is what a call to a path must get, small or in several parts.
func answerFor(path string) []byte {
	count := 3
	if xxhash.Sum64String(path)%3 == 0 {
		count = 20000
	}
	return bytes.Repeat([]byte(path+" "), count)
}

// fakePeer answers calls wrongly in ways drawn from its random source. It
// keeps the ids of earlier calls to answer them again.
type fakePeer struct {
	lock   sync.Mutex
	random *rand.Rand
	past   []request.CallID
}

func (fp *fakePeer) serve(_ context.Context, stream *peer.Stream) {
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
		fp.answer(stream, call, answerFor(header.GetPath()))
		if stream.Flush() != nil {
			return
		}
	}
}

func (fp *fakePeer) answer(stream *peer.Stream, call request.CallID, body []byte) {
	fp.lock.Lock()
	defer fp.lock.Unlock()
	defer func() { fp.past = append(fp.past, call) }()
	other := []byte("the answer of another caller")
	switch fp.random.IntN(9) {
	case 0: // an earlier call's answer arrives late, before the right one
		if len(fp.past) > 0 {
			fp.send(stream, fp.past[len(fp.past)-1], other, other, false)
		}
	case 1: // twice
		fp.send(stream, call, body, body, false)
	case 2: // swapped for another call
		fp.send(stream, call+1, other, other, false)
		return
	case 3: // cut, and the end says so
		fp.send(stream, call, body, body[:len(body)/2], true)
		return
	case 4: // cut, and the end hides it
		fp.send(stream, call, body[:len(body)/2], body, false)
		return
	case 5: // cut by a lost connection
		_ = stream.AddMessage(peer.FrameMessage, call, &peerpb.AnswerHeader{Status: 200, BodyLength: int64(len(body))})
		stream.Add(peer.Frame{Kind: peer.FrameBody, Call: call, Payload: body[:1]})
		_ = stream.Flush()
		_ = stream.Close()
		return
	case 6: // a frame of another call in the middle of the body
		_ = stream.AddMessage(peer.FrameMessage, call, &peerpb.AnswerHeader{Status: 200, BodyLength: -1})
		stream.Add(peer.Frame{Kind: peer.FrameBody, Call: call + 1, Payload: other})
	}
	fp.send(stream, call, body, body, false)
}

// send answers with what is sent while the end frame claims another body.
func (fp *fakePeer) send(stream *peer.Stream, call request.CallID, sent, claimed []byte, aborted bool) {
	_ = stream.AddMessage(peer.FrameMessage, call, &peerpb.AnswerHeader{Status: 200, BodyLength: int64(len(claimed))})
	for start := 0; start < len(sent); start += peer.BodyPart {
		stream.Add(peer.Frame{Kind: peer.FrameBody, Call: call, Payload: sent[start:min(start+peer.BodyPart, len(sent))]})
	}
	_ = stream.AddMessage(peer.FrameEnd, call, &peerpb.End{
		BodyLength: int64(len(claimed)), BodyHash: xxhash.Sum64(claimed), Aborted: aborted, Report: &peerpb.Report{},
	})
}

func TestCallerNeverGetsAFragmentOrAnothersAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	entry := startHost(t, "one", "evidencia", http.NotFoundHandler())
	fake := &fakePeer{random: rand.New(rand.NewPCG(uint64(suite.Seed()), 1))}
	listener := listen(t)
	transport := &peer.Transport{Handlers: map[peer.Kind]peer.Handler{peer.KindCall: fake.serve}}
	go func() { _ = transport.Serve(t.Context(), listener) }()
	entry.node.Chooser.Ejection = time.Nanosecond
	entry.node.Chooser.Update(time.Now(), choice.View{Service: "agenda", Targets: []choice.Target{
		{Node: "fake", Incarnation: 1, Address: listener.Addr().String(), Place: place, Slots: 50},
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
