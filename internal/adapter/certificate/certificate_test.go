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

var issuedAt = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

// newSite creates an authority, a node certificate and an operator certificate,
// and returns their folder.
func newSite(t *testing.T) string {
	t.Helper()
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	g.Expect(certificate.CreateAuthority(folder, "gota-justa", 365*day, issuedAt)).To(gomega.Succeed())
	for name, role := range map[string]certificate.Role{"norte-a-1": certificate.RoleNode, "ines": certificate.RoleOperator} {
		g.Expect(certificate.Issue(folder, certificate.Request{Name: name, Role: role, Validity: 30 * day}, issuedAt)).To(gomega.Succeed())
	}
	return folder
}

func loadFiles(t *testing.T, authority, folder, name string, now *time.Time) *certificate.Files {
	t.Helper()
	files := &certificate.Files{
		Authority:   filepath.Join(authority, certificate.AuthorityCertificate),
		Certificate: filepath.Join(folder, name+".pem"),
		Key:         filepath.Join(folder, name+".key"),
		Now:         func() time.Time { return *now },
	}
	gomega.NewWithT(t).Expect(files.Load()).To(gomega.Succeed())
	return files
}

// handshake connects a client to a server, sends one byte to the client and
// returns the errors of both sides.
func handshake(server, client *tls.Config) (serverErr, clientErr error) {
	clientSide, serverSide := net.Pipe()
	done := make(chan error, 1)
	go func() {
		conn := tls.Server(serverSide, server)
		err := conn.Handshake()
		if err == nil {
			_, err = conn.Write([]byte{1})
		}
		_ = serverSide.Close()
		done <- err
	}()
	conn := tls.Client(clientSide, client)
	err := conn.Handshake()
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
	}
	_ = clientSide.Close()
	return <-done, err
}

func TestHandshakeChecksAuthorityAndRole(t *testing.T) {
	g := gomega.NewWithT(t)
	now := issuedAt
	folder, otherFolder := newSite(t), newSite(t)
	server := loadFiles(t, folder, folder, "norte-a-1", &now)
	node := loadFiles(t, folder, folder, "norte-a-1", &now)
	operator := loadFiles(t, folder, folder, "ines", &now)
	other := loadFiles(t, folder, otherFolder, "norte-a-1", &now)

	serverErr, clientErr := handshake(server.ServerConfig(certificate.RoleNode), node.ClientConfig(certificate.RoleNode))
	g.Expect(serverErr).NotTo(gomega.HaveOccurred())
	g.Expect(clientErr).NotTo(gomega.HaveOccurred())

	serverErr, clientErr = handshake(server.ServerConfig(certificate.RoleNode), operator.ClientConfig(certificate.RoleNode))
	g.Expect(serverErr).To(gomega.MatchError(certificate.ErrWrongRole))
	g.Expect(clientErr).To(gomega.HaveOccurred())

	serverErr, _ = handshake(server.ServerConfig(certificate.RoleNode), other.ClientConfig(certificate.RoleNode))
	g.Expect(serverErr).To(gomega.MatchError(gomega.ContainSubstring("another authority")))
	_, clientErr = handshake(other.ServerConfig(certificate.RoleNode), node.ClientConfig(certificate.RoleNode))
	g.Expect(clientErr).To(gomega.MatchError(gomega.ContainSubstring("another authority")))

	serverErr, clientErr = handshake(server.ServerConfig(certificate.RoleNode), &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13})
	g.Expect(serverErr).To(gomega.HaveOccurred())
	g.Expect(clientErr).To(gomega.HaveOccurred())
}

func TestExpiredCertificateIsReplacedWithoutRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	now := issuedAt
	folder := newSite(t)
	server := loadFiles(t, folder, folder, "norte-a-1", &now)
	client := loadFiles(t, folder, folder, "norte-a-1", &now)
	now = issuedAt.Add(31 * day)
	serverErr, clientErr := handshake(server.ServerConfig(certificate.RoleNode), client.ClientConfig(certificate.RoleNode))
	g.Expect(clientErr).To(gomega.MatchError(gomega.ContainSubstring("issue a new one")))
	g.Expect(serverErr).To(gomega.HaveOccurred())

	g.Expect(os.Remove(filepath.Join(folder, "norte-a-1.pem"))).To(gomega.Succeed())
	g.Expect(os.Remove(filepath.Join(folder, "norte-a-1.key"))).To(gomega.Succeed())
	request := certificate.Request{Name: "norte-a-1", Role: certificate.RoleNode, Validity: 30 * day}
	g.Expect(certificate.Issue(folder, request, now)).To(gomega.Succeed())
	later := time.Now().Add(time.Hour)
	for _, name := range []string{"norte-a-1.pem", "norte-a-1.key"} {
		g.Expect(os.Chtimes(filepath.Join(folder, name), later, later)).To(gomega.Succeed())
	}
	now = now.Add(2 * time.Second)
	serverErr, clientErr = handshake(server.ServerConfig(certificate.RoleNode), client.ClientConfig(certificate.RoleNode))
	g.Expect(serverErr).NotTo(gomega.HaveOccurred())
	g.Expect(clientErr).NotTo(gomega.HaveOccurred())
	g.Expect(certificate.Issue(folder, request, now)).To(gomega.MatchError(gomega.ContainSubstring("if the file exists, move it away first")))
}

// replaceAuthority puts the authority of another site in the place of a site's own.
func replaceAuthority(g gomega.Gomega, folder, other string) {
	text, err := os.ReadFile(filepath.Join(other, certificate.AuthorityCertificate))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(os.WriteFile(filepath.Join(folder, certificate.AuthorityCertificate), text, 0o600)).To(gomega.Succeed())
}

// An authority that was withdrawn while a process was down is not trusted after its
// start, and neither on a running process once the file was replaced.
func TestWithdrawnAuthorityIsNotTrustedAgain(t *testing.T) {
	for _, restarts := range []bool{true, false} {
		g := gomega.NewWithT(t)
		now := issuedAt
		folder, next := newSite(t), newSite(t)
		server := loadFiles(t, folder, next, "norte-a-1", &now)
		client := loadFiles(t, next, folder, "norte-a-1", &now)
		clientConfig := client.ClientConfig(certificate.RoleNode)
		serverConfig := server.ServerConfig(certificate.RoleNode)
		serverErr, clientErr := handshake(serverConfig, clientConfig)
		g.Expect(serverErr).NotTo(gomega.HaveOccurred())
		g.Expect(clientErr).NotTo(gomega.HaveOccurred())

		replaceAuthority(g, folder, next)
		later := time.Now().Add(time.Hour)
		g.Expect(os.Chtimes(filepath.Join(folder, certificate.AuthorityCertificate), later, later)).To(gomega.Succeed())
		now = now.Add(2 * time.Second)
		if restarts {
			serverConfig = loadFiles(t, folder, next, "norte-a-1", &now).ServerConfig(certificate.RoleNode)
		}
		serverErr, _ = handshake(serverConfig, clientConfig)
		g.Expect(serverErr).To(gomega.MatchError(gomega.ContainSubstring("another authority")), "restarts: %v", restarts)
	}
}

// The error of a damaged file is over once the file that is in use is back, with the
// time that it had.
func TestReloadErrorEndsWhenFileIsRestored(t *testing.T) {
	g := gomega.NewWithT(t)
	now := issuedAt
	folder := newSite(t)
	files := loadFiles(t, folder, folder, "norte-a-1", &now)
	name := filepath.Join(folder, "norte-a-1.pem")
	info, err := os.Stat(name)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	text, err := os.ReadFile(name)
	g.Expect(err).NotTo(gomega.HaveOccurred())

	later := info.ModTime().Add(time.Hour)
	g.Expect(os.WriteFile(name, []byte("damaged"), 0o600)).To(gomega.Succeed())
	g.Expect(os.Chtimes(name, later, later)).To(gomega.Succeed())
	now = now.Add(2 * time.Second)
	files.Expiry()
	g.Expect(files.ReloadError()).To(gomega.HaveOccurred())

	g.Expect(os.WriteFile(name, text, 0o600)).To(gomega.Succeed())
	g.Expect(os.Chtimes(name, info.ModTime(), info.ModTime())).To(gomega.Succeed())
	now = now.Add(2 * time.Second)
	files.Expiry()
	g.Expect(files.ReloadError()).NotTo(gomega.HaveOccurred())
}
