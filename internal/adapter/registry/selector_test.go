package registry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
)

// A node that leaves while a stream is being opened must not register over it, as its
// target would be listed again.
func TestNodeThatLeftDoesNotRegisterAgain(t *testing.T) {
	replicas := []peer.Address{"near", "far"}
	for name, register := range map[string]bool{"first stream": false, "stream to the nearest": true} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			choice := &selector{nearestRetryInterval: time.Second, random: rand.New(rand.NewPCG(1, 1))}
			if register {
				choice.register(startTime, "far", replicas)
			}
			now := startTime.Add(time.Minute)
			address, due := choice.next(now, replicas)
			g.Expect(due).To(gomega.BeTrue())
			choice.pauseUntil(now.Add(time.Hour))
			g.Expect(choice.accepts(now.Add(time.Second), address, false, replicas)).To(gomega.BeFalse())
			for range replicas {
				choice.fail(now.Add(time.Second), replicas)
			}
			_, due = choice.next(now.Add(time.Minute), replicas)
			g.Expect(due).To(gomega.BeFalse())
		})
	}
}
