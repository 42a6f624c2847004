// Package certificate secures the peer and operators' ports by mutual TLS from
// files, and makes a site's own authority and certificates.
//
// A certificate names its process in the common name and its [Role] in the
// organizational unit. A port takes only the roles it is for: no operator's
// certificate opens a peer port. The files are read again when they change,
// without a restart; connections that stand go on.
//
// # Usage
//
//	files := &certificate.Files{Authority: "authority.pem", Certificate: "node.pem", Key: "node.key"}
//	if err := files.Load(); err != nil {
//		return err
//	}
//	listener = tls.NewListener(listener, files.Server(certificate.RoleNode))
//	conn = tls.Client(conn, files.Client(certificate.RoleNode))
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

// Role says what a certificate is for.
type Role string

// The roles.
const (
	RoleNode     Role = "node"
	RoleOperator Role = "operator"
)

const reloadInterval = time.Second

// ErrRole tells that a certificate is for another role.
var ErrRole = errors.New("certificate is for another role")

// Files names the files of one process. The exported fields are set before
// Load.
type Files struct {
	// Authority holds the certificates of the site's authorities.
	Authority   string
	Certificate string
	Key         string
	// Now gives the time; nil means the clock.
	Now func() time.Time

	lock    sync.Mutex
	loaded  *identity
	checked time.Time
	changed [3]time.Time
	// Failed is the error of the last reload that failed; the files of before
	// stay in use.
	failed error
}

type identity struct {
	pair  tls.Certificate
	roots *x509.CertPool
}

// Load reads the files for the first time.
func (files *Files) Load() error {
	files.lock.Lock()
	defer files.lock.Unlock()
	changed, err := files.times()
	if err != nil {
		return err
	}
	loaded, err := files.read()
	if err != nil {
		return err
	}
	files.loaded = loaded
	files.changed = changed
	files.checked = files.now()
	return nil
}

// Failed gives the error of the last reload, or nil.
func (files *Files) Failed() error {
	files.lock.Lock()
	defer files.lock.Unlock()
	return files.failed
}

// Fits tells whether the certificate is for the name and role, as its peers
// will ask.
func (files *Files) Fits(name string, role Role) error {
	leaf := files.current().pair.Leaf
	if leaf.Subject.CommonName != name {
		return fmt.Errorf("certificate %s is for %q, and the settings name %q; give each its own", files.Certificate, leaf.Subject.CommonName, name)
	}
	return checkRole(leaf, []Role{role})
}

// Expiry gives the end of the certificate in use, after a look at the files.
func (files *Files) Expiry() time.Time {
	return files.current().pair.Leaf.NotAfter
}

// Name gives the name in the process's own certificate.
func (files *Files) Name() string {
	files.lock.Lock()
	defer files.lock.Unlock()
	return files.loaded.pair.Leaf.Subject.CommonName
}

// Server gives the settings of a port that takes the roles.
func (files *Files) Server(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &files.current().pair, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return files.verify(state, x509.ExtKeyUsageClientAuth, roles)
		},
	}
}

// Client gives the settings of a connection to a process of the role. The
// process is known by its certificate, not by its address.
func (files *Files) Client(role Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The chain and the role are verified below; host names are not used.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &files.current().pair, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return files.verify(state, x509.ExtKeyUsageServerAuth, []Role{role})
		},
	}
}

func (files *Files) verify(state tls.ConnectionState, usage x509.ExtKeyUsage, roles []Role) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the other side sent no certificate; name its files in its settings")
	}
	intermediates := x509.NewCertPool()
	for _, one := range state.PeerCertificates[1:] {
		intermediates.AddCert(one)
	}
	leaf := state.PeerCertificates[0]
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:         files.current().roots,
		Intermediates: intermediates,
		CurrentTime:   files.now(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return fmt.Errorf("certificate of %q is refused: %w", leaf.Subject.CommonName, explain(err))
	}
	return checkRole(leaf, roles)
}

func checkRole(leaf *x509.Certificate, roles []Role) error {
	for _, unit := range leaf.Subject.OrganizationalUnit {
		if slices.Contains(roles, Role(unit)) {
			return nil
		}
	}
	return fmt.Errorf("%w: %q is for %v, not for %v", ErrRole, leaf.Subject.CommonName, leaf.Subject.OrganizationalUnit, roles)
}

// explain adds what to do to the usual errors.
func explain(err error) error {
	invalid := x509.CertificateInvalidError{}
	if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
		return fmt.Errorf("it is expired or not valid yet, issue a new one: %w", err)
	}
	foreign := x509.UnknownAuthorityError{}
	if errors.As(err, &foreign) {
		return fmt.Errorf("it is from another authority, issue one from this site's: %w", err)
	}
	return err
}

// current gives the identity, after a look at the files at most once a second.
func (files *Files) current() *identity {
	files.lock.Lock()
	defer files.lock.Unlock()
	now := files.now()
	if now.Sub(files.checked) < reloadInterval {
		return files.loaded
	}
	files.checked = now
	changed, err := files.times()
	if err != nil {
		files.failed = err
		return files.loaded
	}
	if changed == files.changed {
		return files.loaded
	}
	files.reload(changed)
	return files.loaded
}

func (files *Files) reload(changed [3]time.Time) {
	loaded, err := files.read()
	files.failed = err
	if err != nil {
		return
	}
	files.loaded = loaded
	files.changed = changed
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
		return nil, fmt.Errorf("authority %s holds no certificate in PEM form", files.Authority)
	}
	return &identity{pair: pair, roots: roots}, nil
}

func (files *Files) times() ([3]time.Time, error) {
	times := [3]time.Time{}
	for index, name := range []string{files.Authority, files.Certificate, files.Key} {
		info, err := os.Stat(name)
		if err != nil {
			return times, fmt.Errorf("look at certificate file: %w", err)
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
