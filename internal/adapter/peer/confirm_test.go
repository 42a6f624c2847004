package peer

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// confirmFixture is a server that answers the call 1 only once it may proceed, and the others
// at once.
type confirmFixture struct {
	client  *Transport
	address Address
	arrived chan arrivedCall
	proceed chan struct{}
}

// arrivedCall is a call that is being handled.
type arrivedCall struct {
	confirm func() error
}

func startConfirmFixture(t *testing.T) *confirmFixture {
	t.Helper()
	fixture := &confirmFixture{
		client:  &Transport{Self: Hello{Node: "one"}},
		arrived: make(chan arrivedCall, 1),
		proceed: make(chan struct{}),
	}
	fixture.address = startCallServer(t, fixture.client, fixture.serve)
	return fixture
}

func (fixture *confirmFixture) serve(ctx context.Context, call *Inbound) {
	if call.Call == 1 {
		fixture.arrived <- arrivedCall{confirm: func() error { return call.Confirm(ctx) }}
		<-fixture.proceed
	}
	_ = call.Answer(&peerpb.AnswerHeader{Status: http.StatusOK}, http.NoBody, func() *peerpb.Report { return &peerpb.Report{} })
}

func (fixture *confirmFixture) call(ctx context.Context, id request.CallID) error {
	exchange, answer, err := fixture.client.Call(ctx, fixture.address, Outbound{Call: id, Header: &peerpb.CallHeader{}, Body: http.NoBody})
	if err != nil {
		return err
	}
	_, err = ReadBody(exchange.Body(), answer.GetBodyLength(), MaxBodyPartBytes)
	exchange.Finish()
	return err
}

// A call is confirmed while its caller's node waits for it, whatever else arrives on the
// connection, and on the same stream afterwards.
func TestConfirmTellsWhetherCallHasEnded(t *testing.T) {
	cases := []struct {
		name      string
		meanwhile func(g *gomega.WithT, fixture *confirmFixture, leave func())
		ended     bool
	}{
		{"nothing arrives", func(*gomega.WithT, *confirmFixture, func()) {}, false},
		{"other calls arrive", func(g *gomega.WithT, fixture *confirmFixture, _ func()) {
			for id := range request.CallID(3) {
				g.Expect(fixture.call(context.Background(), 2+id)).To(gomega.Succeed())
			}
		}, false},
		{"the caller leaves", func(_ *gomega.WithT, _ *confirmFixture, leave func()) { leave() }, true},
		{"the connection is closed", func(_ *gomega.WithT, fixture *confirmFixture, _ func()) { _ = fixture.client.Close() }, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			fixture := startConfirmFixture(t)
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			result := make(chan error, 1)
			go func() { result <- fixture.call(ctx, 1) }()
			call := <-fixture.arrived
			test.meanwhile(g, fixture, leave)
			if test.ended {
				g.Eventually(call.confirm).WithTimeout(time.Minute).ShouldNot(gomega.Succeed())
				close(fixture.proceed)
				return
			}
			g.Expect(call.confirm()).To(gomega.Succeed())
			close(fixture.proceed)
			g.Expect(<-result).To(gomega.Succeed())
			g.Expect(fixture.call(context.Background(), 7)).To(gomega.Succeed())
		})
	}
}
