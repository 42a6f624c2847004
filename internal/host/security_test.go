package host_test

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/certificate"
	"github.com/magnoliawall/magnoliawall/internal/adapter/control/controlpb"
	"github.com/magnoliawall/magnoliawall/internal/adapter/operator"
	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/internal/settings"
)

const (
	day           = 24 * time.Hour
	noCertificate = ""
)

// issue makes an authority with the certificates of two hosts, an operator and
// one whose time is over.
func issue(t *testing.T) string {
	t.Helper()
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	now := time.Now()
	g.Expect(certificate.CreateAuthority(folder, "gota-justa", 365*day, now.Add(-30*day))).To(gomega.Succeed())
	for name, role := range map[string]certificate.Role{"host-0": certificate.RoleNode, "host-1": certificate.RoleNode, "ines": certificate.RoleOperator} {
		g.Expect(certificate.Issue(folder, certificate.Request{Name: name, Role: role, Validity: day}, now)).To(gomega.Succeed())
	}
	for name, role := range map[string]certificate.Role{"expired-host": certificate.RoleNode, "expired-operator": certificate.RoleOperator} {
		g.Expect(certificate.Issue(folder, certificate.Request{Name: name, Role: role, Validity: day}, now.Add(-2*day))).To(gomega.Succeed())
	}
	return folder
}

// identity gives the client's side of TLS with a certificate, or with none. It
// takes any server.
func identity(t *testing.T, folder, name string) *tls.Config {
	t.Helper()
	config := &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}
	if name != noCertificate {
		pair, err := tls.LoadX509KeyPair(filepath.Join(folder, name+".pem"), filepath.Join(folder, name+".key"))
		gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
		config.Certificates = []tls.Certificate{pair}
	}
	return config
}

// connects tells whether the peer port answers a request of a node.
func connects(t *testing.T, me *member, as request.NodeID, config *tls.Config) bool {
	t.Helper()
	transport := &peer.Transport{Self: peer.Hello{Node: as, Service: "agenda", Incarnation: 1}, ClientTLS: config}
	defer func() { _ = transport.Close() }()
	stream, err := transport.Open(t.Context(), peer.Address(me.settings.Listen.Peers), peer.KindControl)
	if err != nil {
		return false
	}
	operation := &controlpb.Operation{Verb: string(operator.ViewStatus)}
	if stream.Send(1, &controlpb.Request{Body: &controlpb.Request_Operation{Operation: operation}}) != nil {
		return false
	}
	_, err = stream.ReceiveMessage(&controlpb.Answer{})
	return err == nil
}

// operates tells whether the admin port carries out an operator's request.
func operates(t *testing.T, me *member, config *tls.Config) bool {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
	answer, err := client.Post("https://"+string(me.settings.Listen.Admin)+"/v1/view-status", "application/json", nil)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// Without a certificate of the site that is in its time, and of the right role,
// nobody reaches the ports of peers and operators.
func TestStrangersAreTurnedAway(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	home, foreign := issue(t), issue(t)
	si := planSite(t, 2, "norte-a", "norte-b")
	for _, me := range si.hosts {
		name := filepath.Join(home, string(me.settings.Node))
		me.settings.Security = settings.Security{
			Authority:   filepath.Join(home, certificate.AuthorityCertificate),
			Certificate: name + ".pem",
			Key:         name + ".key",
		}
		me.start()
	}
	si.awaitVersion(1)
	me := si.hosts[0]

	g.Expect(operates(t, me, identity(t, home, "ines"))).To(gomega.BeTrue())
	for _, stranger := range []*tls.Config{
		identity(t, home, noCertificate), identity(t, foreign, "ines"), identity(t, home, "expired-operator"),
	} {
		g.Expect(operates(t, me, stranger)).To(gomega.BeFalse())
	}
	g.Expect(connects(t, me, "host-1", identity(t, home, "host-1"))).To(gomega.BeTrue())
	g.Expect(connects(t, me, "host-0", identity(t, home, "host-1"))).To(gomega.BeFalse(), "in another's name")
	for _, stranger := range []*tls.Config{
		nil, identity(t, home, noCertificate), identity(t, foreign, "host-1"), identity(t, home, "expired-host"), identity(t, home, "ines"),
	} {
		g.Expect(connects(t, me, "host-1", stranger)).To(gomega.BeFalse())
	}
	for _, port := range []settings.Address{me.settings.Listen.Peers, me.settings.Listen.Admin} {
		si.expectClosed(port)
	}
}

// expectClosed sends plaintext to a port and waits until it closes the
// connection without a word of ours.
func (si *site) expectClosed(port settings.Address) {
	si.t.Helper()
	g := gomega.NewWithT(si.t)
	conn, err := net.Dial("tcp", string(port))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("POST /v1/view-status HTTP/1.1\r\nHost: host\r\nContent-Length: 0\r\n\r\n"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	closed := make(chan []byte, 1)
	go func() {
		content, _ := io.ReadAll(conn)
		closed <- content
	}()
	var content []byte
	g.Eventually(closed).WithTimeout(patience).Should(gomega.Receive(&content))
	g.Expect(string(content)).NotTo(gomega.ContainSubstring("version"))
}
