package loopback

import (
	"net"
	"testing"

	"github.com/onsi/gomega"
)

// TestReservedAddressIsGivenOnce guards against servers of two tests that listen on
// one address.
func TestReservedAddressIsGivenOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	given := make(map[string]bool)
	for range 300 {
		address, err := Reserve()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(given).NotTo(gomega.HaveKey(address))
		g.Expect(net.ParseIP(address).IsLoopback()).To(gomega.BeTrue())
		given[address] = true
	}
}

// TestAddressOfAnotherProcessIsSkipped guards against two processes that reserve one
// address.
func TestAddressOfAnotherProcessIsSkipped(t *testing.T) {
	g := gomega.NewWithT(t)
	first, err := Reserve()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	// Without its own record, the package learns of the address by its listener alone.
	held := reservations
	reservations = nil
	defer func() { reservations = append(reservations, held...) }()
	second, err := Reserve()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(second).NotTo(gomega.Equal(first))
}

// TestAddressesOfAllProcessIDsAreOnLoopback guards against process ids that are larger
// than the range of addresses.
func TestAddressesOfAllProcessIDsAreOnLoopback(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(addressAt(0)).To(gomega.Equal("127.1.0.0"))
	g.Expect(addressAt(addressCount - 1)).To(gomega.Equal("127.254.255.255"))
	g.Expect(addressAt(addressCount)).To(gomega.Equal("127.1.0.0"))
	g.Expect(net.ParseIP(addressAt(4_194_304 << 8)).IsLoopback()).To(gomega.BeTrue())
}
