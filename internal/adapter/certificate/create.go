package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

const (
	keyMode         = 0o600
	certificateMode = 0o644
	folderMode      = 0o700
	serialBits      = 128
	// clockSkew is how far a peer's clock may be behind the one that signs: a
	// certificate is valid from that long before it is issued.
	clockSkew = 5 * time.Minute
)

// The file names of an authority's certificate and private key in its folder.
const (
	AuthorityCertificate = "authority.pem"
	AuthorityKey         = "authority.key"
)

// Request describes a certificate to issue.
type Request struct {
	// Name is the node's id or the operator's name.
	Name string
	Role Role
	// Validity is the time from now until the certificate expires.
	Validity time.Duration
}

// CreateAuthority creates the certificate authority of a site, with an ECDSA P-256
// key, in a folder. It creates the folder if needed and fails if the folder already
// holds an authority.
func CreateAuthority(folder, site string, validity time.Duration, now time.Time) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template, err := newTemplate(pkix.Name{CommonName: site + " authority", Organization: []string{site}}, validity, now)
	if err != nil {
		return err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return err
	}
	return writeKeyPair(filepath.Join(folder, AuthorityCertificate), filepath.Join(folder, AuthorityKey), encoded, key)
}

// Issue creates a certificate, signed by the authority in the folder, and its
// private key, an ECDSA P-256 key. It writes them to NAME.pem and NAME.key in the
// folder and fails if one of these files exists.
func Issue(folder string, request Request, now time.Time) error {
	authority, signer, err := readAuthority(folder)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	subject := pkix.Name{CommonName: request.Name, OrganizationalUnit: []string{string(request.Role)}, Organization: authority.Subject.Organization}
	template, err := newTemplate(subject, request.Validity, now)
	if err != nil {
		return err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if request.Role == RoleNode {
		template.ExtKeyUsage = append(template.ExtKeyUsage, x509.ExtKeyUsageServerAuth)
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, authority, &key.PublicKey, signer)
	if err != nil {
		return err
	}
	return writeKeyPair(filepath.Join(folder, request.Name+".pem"), filepath.Join(folder, request.Name+".key"), encoded, key)
}

func newTemplate(subject pkix.Name, validity time.Duration, now time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      subject,
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

func readAuthority(folder string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	text, err := os.ReadFile(filepath.Join(folder, AuthorityCertificate))
	if err != nil {
		return nil, nil, fmt.Errorf("read the authority's certificate; create an authority first: %w", err)
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, nil, errors.New("the authority's certificate is not in PEM format")
	}
	authority, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, nil, fmt.Errorf("parse the authority's certificate: %w", err)
	}
	text, err = os.ReadFile(filepath.Join(folder, AuthorityKey))
	if err != nil {
		return nil, nil, fmt.Errorf("read the authority's key: %w", err)
	}
	block, _ = pem.Decode(text)
	if block == nil {
		return nil, nil, errors.New("the authority's key is not in PEM format")
	}
	signer, err := x509.ParseECPrivateKey(block.Bytes)
	if err != nil {
		return nil, nil, fmt.Errorf("parse the authority's key: %w", err)
	}
	return authority, signer, nil
}

func writeKeyPair(certificateName, keyName string, encoded []byte, key *ecdsa.PrivateKey) error {
	keyBytes, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	if err := writeNewPEM(keyName, "EC PRIVATE KEY", keyBytes, keyMode); err != nil {
		return err
	}
	return writeNewPEM(certificateName, "CERTIFICATE", encoded, certificateMode)
}

func writeNewPEM(name, block string, content []byte, mode os.FileMode) error {
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fmt.Errorf("create %s; if the file exists, move it away first: %w", filepath.Base(name), err)
	}
	err = pem.Encode(file, &pem.Block{Type: block, Bytes: content})
	return errors.Join(err, file.Close())
}
