package certificate_test

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/certificate"
)

const day = 24 * time.Hour

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

// site makes an authority with a node's and an operator's certificate.
func site(t *testing.T) string {
	t.Helper()
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	g.Expect(certificate.CreateAuthority(folder, "gota-justa", 365*day, start)).To(gomega.Succeed())
	for name, role := range map[string]certificate.Role{"norte-a-1": certificate.RoleNode, "ines": certificate.RoleOperator} {
		g.Expect(certificate.Issue(folder, certificate.Request{Name: name, Role: role, Validity: 30 * day}, start)).To(gomega.Succeed())
	}
	return folder
}

func files(t *testing.T, authority, folder, name string, now *time.Time) *certificate.Files {
	t.Helper()
	loaded := &certificate.Files{
		Authority:   filepath.Join(authority, certificate.AuthorityCertificate),
		Certificate: filepath.Join(folder, name+".pem"),
		Key:         filepath.Join(folder, name+".key"),
		Now:         func() time.Time { return *now },
	}
	gomega.NewWithT(t).Expect(loaded.Load()).To(gomega.Succeed())
	return loaded
}

// shake runs a handshake and one byte each way, and gives the errors of both
// sides.
func shake(server, client *tls.Config) (atServer, atClient error) {
	near, far := net.Pipe()
	done := make(chan error, 1)
	go func() {
		conn := tls.Server(far, server)
		err := conn.Handshake()
		if err == nil {
			_, err = conn.Write([]byte{1})
		}
		_ = far.Close()
		done <- err
	}()
	conn := tls.Client(near, client)
	err := conn.Handshake()
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
	}
	_ = near.Close()
	return <-done, err
}

func TestOnlyTheRightCertificatesConnect(t *testing.T) {
	g := gomega.NewWithT(t)
	now := start
	home, foreign := site(t), site(t)
	server := files(t, home, home, "norte-a-1", &now)
	node := files(t, home, home, "norte-a-1", &now)
	operator := files(t, home, home, "ines", &now)
	stranger := files(t, home, foreign, "norte-a-1", &now)

	atServer, atClient := shake(server.Server(certificate.RoleNode), node.Client(certificate.RoleNode))
	g.Expect(atServer).NotTo(gomega.HaveOccurred())
	g.Expect(atClient).NotTo(gomega.HaveOccurred())

	atServer, atClient = shake(server.Server(certificate.RoleNode), operator.Client(certificate.RoleNode))
	g.Expect(atServer).To(gomega.MatchError(certificate.ErrRole))
	g.Expect(atClient).To(gomega.HaveOccurred())

	atServer, _ = shake(server.Server(certificate.RoleNode), stranger.Client(certificate.RoleNode))
	g.Expect(atServer).To(gomega.MatchError(gomega.ContainSubstring("another authority")))
	_, atClient = shake(stranger.Server(certificate.RoleNode), node.Client(certificate.RoleNode))
	g.Expect(atClient).To(gomega.MatchError(gomega.ContainSubstring("another authority")))

	atServer, atClient = shake(server.Server(certificate.RoleNode), &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13})
	g.Expect(atServer).To(gomega.HaveOccurred())
	g.Expect(atClient).To(gomega.HaveOccurred())
}

func TestExpiredCertificateIsRefusedAndReplacedWithoutRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	now := start
	home := site(t)
	server := files(t, home, home, "norte-a-1", &now)
	client := files(t, home, home, "norte-a-1", &now)
	now = start.Add(31 * day)
	atServer, atClient := shake(server.Server(certificate.RoleNode), client.Client(certificate.RoleNode))
	g.Expect(atClient).To(gomega.MatchError(gomega.ContainSubstring("issue a new one")))
	g.Expect(atServer).To(gomega.HaveOccurred())

	g.Expect(os.Remove(filepath.Join(home, "norte-a-1.pem"))).To(gomega.Succeed())
	g.Expect(os.Remove(filepath.Join(home, "norte-a-1.key"))).To(gomega.Succeed())
	asked := certificate.Request{Name: "norte-a-1", Role: certificate.RoleNode, Validity: 30 * day}
	g.Expect(certificate.Issue(home, asked, now)).To(gomega.Succeed())
	later := time.Now().Add(time.Hour)
	for _, name := range []string{"norte-a-1.pem", "norte-a-1.key"} {
		g.Expect(os.Chtimes(filepath.Join(home, name), later, later)).To(gomega.Succeed())
	}
	now = now.Add(2 * time.Second)
	atServer, atClient = shake(server.Server(certificate.RoleNode), client.Client(certificate.RoleNode))
	g.Expect(atServer).NotTo(gomega.HaveOccurred())
	g.Expect(atClient).NotTo(gomega.HaveOccurred())
	g.Expect(certificate.Issue(home, asked, now)).To(gomega.MatchError(gomega.ContainSubstring("move an older one away")))
}
