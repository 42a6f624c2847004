// Package certificate provides mutual TLS for the peer and admin ports with
// certificates from files, and creates a site's certificate authority and the
// certificates it signs.
//
// A certificate holds the name of the node or operator in its common name and the
// [Role] in its organizational unit. A port accepts only certificates with the
// roles that it is given, so an operator's certificate is refused at a peer port.
// The files are reloaded when they change, without a restart; established
// connections are not affected. [Files] is safe for concurrent use after Load.
//
// # Usage
//
//	files := &certificate.Files{Authority: "authority.pem", Certificate: "node.pem", Key: "node.key"}
//	if err := files.Load(); err != nil {
//		return err
//	}
//	listener = tls.NewListener(listener, files.ServerConfig(certificate.RoleNode))
//	conn = tls.Client(conn, files.ClientConfig(certificate.RoleNode))
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// Role is the kind of party that a certificate identifies.
type Role string

// The roles that certificates are issued for.
const (
	RoleNode     Role = "node"
	RoleOperator Role = "operator"
)

// reloadInterval is the minimum time between two checks of the files for changes.
const reloadInterval = time.Second

// ErrWrongRole is the error for a certificate of another role than required.
var ErrWrongRole = errors.New("certificate is for another role")

// Files are the certificate files of one process. The exported fields are set
// before Load.
type Files struct {
	// Authority is the path of the file with the certificates of the site's
	// authorities, in PEM format.
	Authority string
	// Certificate and Key are the paths of the process's own certificate and
	// private key, in PEM format.
	Certificate string
	Key         string
	// Now returns the current time; nil means [time.Now].
	Now func() time.Time

	lock      sync.Mutex
	loaded    *identity
	checkedAt time.Time
	modTimes  [3]time.Time
	// reloadErr is the error of the last failed check or reload, until a reload
	// succeeds. The files loaded before stay in use.
	reloadErr error
}

// identity is the loaded content of the files.
type identity struct {
	pair  tls.Certificate
	roots *x509.CertPool
}

// Load reads the files. It is called once, before any other method.
func (files *Files) Load() error {
	files.lock.Lock()
	defer files.lock.Unlock()
	modTimes, err := files.readModTimes()
	if err != nil {
		return err
	}
	loaded, err := files.read()
	if err != nil {
		return err
	}
	files.loaded = loaded
	files.modTimes = modTimes
	files.checkedAt = files.now()
	return nil
}

// ReloadError returns the error of the last failed check or reload of the files, or nil
// if a reload has succeeded since.
func (files *Files) ReloadError() error {
	files.lock.Lock()
	defer files.lock.Unlock()
	return files.reloadErr
}

// CheckIdentity returns an error if the process's own certificate is not for the name and
// the role, which is what its peers verify.
func (files *Files) CheckIdentity(name string, role Role) error {
	leaf := files.currentIdentity().pair.Leaf
	if leaf.Subject.CommonName != name {
		return fmt.Errorf("certificate %s is for %q, but the settings name %q; give each process its own certificate", files.Certificate, leaf.Subject.CommonName, name)
	}
	return checkRole(leaf, []Role{role})
}

// Expiry returns when the certificate in use expires. It reloads changed files
// first.
func (files *Files) Expiry() time.Time {
	return files.currentIdentity().pair.Leaf.NotAfter
}

// Name returns the common name in the process's own certificate.
func (files *Files) Name() string {
	files.lock.Lock()
	defer files.lock.Unlock()
	return files.loaded.pair.Leaf.Subject.CommonName
}

// ServerConfig returns the TLS configuration of a port that accepts clients with any of
// the roles.
func (files *Files) ServerConfig(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &files.currentIdentity().pair, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return files.verify(state, x509.ExtKeyUsageClientAuth, roles)
		},
	}
}

// ClientConfig returns the TLS configuration of a connection to a process with the role.
// The process is identified by its certificate, not by its address.
func (files *Files) ClientConfig(role Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection verifies the chain and the role; host names are not used.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &files.currentIdentity().pair, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return files.verify(state, x509.ExtKeyUsageServerAuth, []Role{role})
		},
	}
}

func (files *Files) verify(state tls.ConnectionState, usage x509.ExtKeyUsage, roles []Role) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer sent no certificate; give its certificate files in its settings")
	}
	intermediates := x509.NewCertPool()
	for _, peer := range state.PeerCertificates[1:] {
		intermediates.AddCert(peer)
	}
	leaf := state.PeerCertificates[0]
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         files.currentIdentity().roots,
		Intermediates: intermediates,
		CurrentTime:   files.now(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return fmt.Errorf("certificate of %q refused: %w", leaf.Subject.CommonName, addRemedy(err))
	}
	return checkRole(leaf, roles)
}

func checkRole(leaf *x509.Certificate, roles []Role) error {
	for _, unit := range leaf.Subject.OrganizationalUnit {
		if slices.Contains(roles, Role(unit)) {
			return nil
		}
	}
	return fmt.Errorf("%w: %q is for %v, not for %v", ErrWrongRole, leaf.Subject.CommonName, leaf.Subject.OrganizationalUnit, roles)
}

// addRemedy adds what to do about an expired certificate or an unknown authority.
func addRemedy(err error) error {
	invalid := x509.CertificateInvalidError{}
	if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
		return fmt.Errorf("it has expired or is not valid yet, issue a new one: %w", err)
	}
	unknown := x509.UnknownAuthorityError{}
	if errors.As(err, &unknown) {
		return fmt.Errorf("it was signed by another authority, issue one with this site's authority: %w", err)
	}
	return err
}

// currentIdentity returns the identity in use. At most once a second, it checks
// the files for changes and reloads them.
func (files *Files) currentIdentity() *identity {
	files.lock.Lock()
	defer files.lock.Unlock()
	now := files.now()
	if now.Sub(files.checkedAt) < reloadInterval {
		return files.loaded
	}
	files.checkedAt = now
	modTimes, err := files.readModTimes()
	if err != nil {
		files.reloadErr = err
		return files.loaded
	}
	if modTimes == files.modTimes {
		// The files in use are back, so an error of others is over.
		files.reloadErr = nil
		return files.loaded
	}
	files.reload(modTimes)
	return files.loaded
}

func (files *Files) reload(modTimes [3]time.Time) {
	loaded, err := files.read()
	files.reloadErr = err
	if err != nil {
		return
	}
	files.loaded = loaded
	files.modTimes = modTimes
}

func (files *Files) read() (*identity, error) {
	pair, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, fmt.Errorf("read certificate %s with key %s: %w", files.Certificate, files.Key, err)
	}
	text, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("authority file %s contains no certificate in PEM format", files.Authority)
	}
	return &identity{pair: pair, roots: roots}, nil
}

func (files *Files) readModTimes() ([3]time.Time, error) {
	times := [3]time.Time{}
	for index, name := range []string{files.Authority, files.Certificate, files.Key} {
		info, err := os.Stat(name)
		if err != nil {
			return times, fmt.Errorf("check certificate file for changes: %w", err)
		}
		times[index] = info.ModTime()
	}
	return times, nil
}

func (files *Files) now() time.Time {
	if files.Now == nil {
		return time.Now()
	}
	return files.Now()
}
