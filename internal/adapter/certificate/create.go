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
	clockSkew       = 5 * time.Minute
)

// The names of an authority's files in its folder.
const (
	AuthorityCertificate = "authority.pem"
	AuthorityKey         = "authority.key"
)

// Request describes a certificate to make.
type Request struct {
	// Name is the node's id or the operator's name.
	Name     string
	Role     Role
	Validity time.Duration
}

// CreateAuthority makes the authority of a site in a folder. It never replaces
// one.
func CreateAuthority(folder, site string, validity time.Duration, now time.Time) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("make folder: %w", err)
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
	return writePair(filepath.Join(folder, AuthorityCertificate), filepath.Join(folder, AuthorityKey), encoded, key)
}

// Issue makes a certificate and its key as NAME.pem and NAME.key in a folder,
// signed by the authority there. It never replaces one.
func Issue(folder string, asked Request, now time.Time) error {
	authority, signer, err := readAuthority(folder)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	subject := pkix.Name{CommonName: asked.Name, OrganizationalUnit: []string{string(asked.Role)}, Organization: authority.Subject.Organization}
	template, err := newTemplate(subject, asked.Validity, now)
	if err != nil {
		return err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if asked.Role == RoleNode {
		template.ExtKeyUsage = append(template.ExtKeyUsage, x509.ExtKeyUsageServerAuth)
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, authority, &key.PublicKey, signer)
	if err != nil {
		return err
	}
	return writePair(filepath.Join(folder, asked.Name+".pem"), filepath.Join(folder, asked.Name+".key"), encoded, key)
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
		return nil, nil, fmt.Errorf("read the authority; make one first: %w", err)
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, nil, errors.New("the authority's certificate is not in PEM form")
	}
	authority, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, nil, fmt.Errorf("read the authority's certificate: %w", err)
	}
	text, err = os.ReadFile(filepath.Join(folder, AuthorityKey))
	if err != nil {
		return nil, nil, fmt.Errorf("read the authority's key: %w", err)
	}
	block, _ = pem.Decode(text)
	if block == nil {
		return nil, nil, errors.New("the authority's key is not in PEM form")
	}
	signer, err := x509.ParseECPrivateKey(block.Bytes)
	if err != nil {
		return nil, nil, fmt.Errorf("read the authority's key: %w", err)
	}
	return authority, signer, nil
}

func writePair(certificateName, keyName string, encoded []byte, key *ecdsa.PrivateKey) error {
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	if err := writeNew(keyName, "EC PRIVATE KEY", secret, keyMode); err != nil {
		return err
	}
	return writeNew(certificateName, "CERTIFICATE", encoded, certificateMode)
}

func writeNew(name, block string, content []byte, mode os.FileMode) error {
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fmt.Errorf("write %s; move an older one away first: %w", filepath.Base(name), err)
	}
	err = pem.Encode(file, &pem.Block{Type: block, Bytes: content})
	return errors.Join(err, file.Close())
}
