package registry

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/core/membership"
)

// TestAttemptsWithoutSuccessAreLogged guards against an attempt at a replica that ends
// without a reason in the log.
func TestAttemptsWithoutSuccessAreLogged(t *testing.T) {
	replicas := []peer.Address{"one", "two"}
	for name, tested := range map[string]struct {
		registered bool
		err        error
		lost       bool
		want       string
	}{
		"not reachable": {err: errors.New("refused"), want: `"replica":"two","error":"refused","message":"registry: the replica is not reachable; trying the next one"`},
		"no answer":     {registered: true, err: errors.New("no reply"), want: `"replica":"two","error":"no reply","message":"registry: the replica that was asked for its quorum gave no answer"`},
		"no quorum":     {registered: true, lost: true, want: `"replica":"two","message":"registry: the replica that was asked has lost its quorum too"`},
	} {
		t.Run(name, func(t *testing.T) {
			expect := gomega.NewWithT(t).Expect
			logged := &bytes.Buffer{}
			client := &Client{
				Self:     membership.Announcement{Node: "a"},
				Replicas: &peer.Directory{Seeds: replicas},
				Logger:   &log.Logger{Writer: &log.IOWriter{Writer: logged}},
			}
			client.selector = selector{nearestRetryInterval: DefaultNearestRetryInterval, random: rand.New(rand.NewPCG(1, 1))}
			if tested.registered {
				client.selector.register(startTime, "one", replicas)
			}
			client.finishOpen(t.Context(), startTime, nil, "two", tested.lost, tested.err)
			expect(logged.String()).To(gomega.ContainSubstring(tested.want))
		})
	}
}
