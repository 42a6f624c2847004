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

// issueCertificates makes an authority with the certificates of two hosts and an
// operator, and an expired one for each role.
func issueCertificates(t *testing.T) string {
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

// clientTLS gives the client's TLS configuration with a certificate, or without
// any. It accepts every server.
func clientTLS(t *testing.T, folder, name string) *tls.Config {
	t.Helper()
	config := &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}
	if name != noCertificate {
		pair, err := tls.LoadX509KeyPair(filepath.Join(folder, name+".pem"), filepath.Join(folder, name+".key"))
		gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
		config.Certificates = []tls.Certificate{pair}
	}
	return config
}

// peerPortAnswers reports whether the peer port answers the request of a node.
func peerPortAnswers(t *testing.T, member *clusterMember, as request.NodeID, config *tls.Config) bool {
	t.Helper()
	transport := &peer.Transport{Self: peer.Hello{Node: as, Service: "agenda", Incarnation: 1}, ClientTLS: config}
	defer func() { _ = transport.Close() }()
	stream, err := transport.Open(t.Context(), peer.Address(member.settings.Listen.Peers), peer.KindControl)
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

// adminPortAnswers reports whether the admin port carries out an operator request.
func adminPortAnswers(t *testing.T, member *clusterMember, config *tls.Config) bool {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
	answer, err := client.Post("https://"+string(member.settings.Listen.Admin)+"/v1/view-status", "application/json", nil)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// The peer and admin ports must reject every client without a certificate of this
// authority that is valid now and has the right role.
func TestConnectionsWithoutValidCertificateAreRejected(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	home, foreign := issueCertificates(t), issueCertificates(t)
	cluster := planCluster(t, 2, "norte-a", "norte-b")
	for _, member := range cluster.members {
		name := filepath.Join(home, string(member.settings.Node))
		member.settings.Security = settings.Security{
			Authority:   filepath.Join(home, certificate.AuthorityCertificate),
			Certificate: name + ".pem",
			Key:         name + ".key",
		}
		member.start()
	}
	cluster.awaitVersion(1)
	member := cluster.members[0]

	g.Expect(adminPortAnswers(t, member, clientTLS(t, home, "ines"))).To(gomega.BeTrue())
	for _, config := range []*tls.Config{
		clientTLS(t, home, noCertificate), clientTLS(t, foreign, "ines"), clientTLS(t, home, "expired-operator"),
	} {
		g.Expect(adminPortAnswers(t, member, config)).To(gomega.BeFalse())
	}
	g.Expect(peerPortAnswers(t, member, "host-1", clientTLS(t, home, "host-1"))).To(gomega.BeTrue())
	g.Expect(peerPortAnswers(t, member, "host-0", clientTLS(t, home, "host-1"))).To(gomega.BeFalse(), "hello under another node's name")
	for _, config := range []*tls.Config{
		nil, clientTLS(t, home, noCertificate), clientTLS(t, foreign, "host-1"), clientTLS(t, home, "expired-host"), clientTLS(t, home, "ines"),
	} {
		g.Expect(peerPortAnswers(t, member, "host-1", config)).To(gomega.BeFalse())
	}
	for _, port := range []settings.Address{member.settings.Listen.Peers, member.settings.Listen.Admin} {
		cluster.expectPlaintextRejected(port)
	}
}

// expectPlaintextRejected sends plaintext to a port and waits until the port closes
// the connection without an answer to the request.
func (cluster *testCluster) expectPlaintextRejected(port settings.Address) {
	cluster.t.Helper()
	g := gomega.NewWithT(cluster.t)
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
	g.Eventually(closed).WithTimeout(testTimeout).Should(gomega.Receive(&content))
	g.Expect(string(content)).NotTo(gomega.ContainSubstring("version"))
}
