package node

import (
	"testing"

	"github.com/onsi/gomega"
)

// Two customers that send the same call with the same idempotency key each get an answer
// of their own.
func TestCustomersShareNoCallInFlight(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	calls := &sharedCalls{}
	first, started := calls.joinOrStart(sharedCallKey{customer: "salto", fingerprint: 7})
	expect(started).To(gomega.BeTrue())
	other, started := calls.joinOrStart(sharedCallKey{customer: "artigas", fingerprint: 7})
	expect(started).To(gomega.BeTrue())
	expect(other).NotTo(gomega.BeIdenticalTo(first))
	joined, started := calls.joinOrStart(sharedCallKey{customer: "salto", fingerprint: 7})
	expect(started).To(gomega.BeFalse())
	expect(joined).To(gomega.BeIdenticalTo(first))
}
