package certifier

// Tests and demos need certificates, and an operator needs them before the first node can start. This authority serves
// both purposes; a fleet can also use another CA whose certificates contain the same URI.
//
// Example: a, err := NewAuthority(now, valid); p, err := a.Issue(Identity{Node, "portal-1"}, now, valid)

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net/url"
	"time"
)

const (
	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
	serialBits       = 127
)

// clockSkew is how far the clock of a VM may lag behind that of the CA before the VM rejects a new certificate as not yet
// valid. Without this margin peers whose clocks lag would reject a new VM for some minutes.
const clockSkew = 10 * time.Minute

// Pair is a certificate and its private key, both PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// Authority is a certificate authority that issues certificates.
type Authority struct {
	Pair
	certificate *x509.Certificate
	key         crypto.Signer
}

// NewAuthority creates an authority whose certificate is valid for the given time from now.
func NewAuthority(now time.Time, valid time.Duration) (Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Authority{}, fmt.Errorf("generate key of authority: %w", err)
	}
	template, err := template("jackdawtide authority", now, valid)
	if err != nil {
		return Authority{}, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	p, err := sign(template, template, key, key)
	if err != nil {
		return Authority{}, err
	}
	return LoadAuthority(p)
}

// LoadAuthority returns the authority with the given certificate and key.
func LoadAuthority(p Pair) (Authority, error) {
	block, _ := pem.Decode(p.Certificate)
	if block == nil {
		return Authority{}, PEMError{What: "certificate of the authority"}
	}
	c, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return Authority{}, fmt.Errorf("certificate of the authority: %w", err)
	}
	block, _ = pem.Decode(p.Key)
	if block == nil {
		return Authority{}, PEMError{What: "key of the authority"}
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return Authority{}, fmt.Errorf("key of the authority: %w", err)
	}
	signer, ok := key.(crypto.Signer)
	if !ok {
		return Authority{}, PEMError{What: "signing key of the authority"}
	}
	return Authority{Pair: p, certificate: c, key: signer}, nil
}

// Issue creates a key and a certificate for the identity.
func (a Authority) Issue(i Identity, now time.Time, valid time.Duration) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("generate key of %s: %w", i, err)
	}
	template, err := template(i.Name, now, valid)
	if err != nil {
		return Pair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = keyUsages(i.Role)
	template.URIs = []*url.URL{i.uri()}
	return sign(template, a.certificate, key, a.key)
}

// PEMError reports input that contains no PEM block of the expected kind.
type PEMError struct {
	What string
}

// Error names what was expected.
func (e PEMError) Error() string {
	return fmt.Sprintf("no PEM block for the %s", e.What)
}

// keyUsages permits only nodes to act as servers, so that a stolen operator's certificate can't impersonate a node.
func keyUsages(r Role) []x509.ExtKeyUsage {
	if r == Operator {
		return []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	}
	return []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
}

func template(name string, now time.Time, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("generate serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(valid),
	}, nil
}

func sign(c, parent *x509.Certificate, key *ecdsa.PrivateKey, parentKey crypto.Signer) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, c, parent, key.Public(), parentKey)
	if err != nil {
		return Pair{}, fmt.Errorf("sign certificate of %q: %w", c.Subject.CommonName, err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, fmt.Errorf("encode key of %q: %w", c.Subject.CommonName, err)
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: keyDER}),
	}, nil
}
