package certifier

// Between nodes, and between an operator and an admin endpoint, both sides present a certificate of the same CA. All
// listeners and clients use one of the two TLS configurations of this file, so that none omits the check.
//
// Example: t, err := Load(Files{Authority: "ca.pem", Certificate: "node.pem", Key: "node.key"}); the peers' QUIC
// listener takes t.Server([]string{"jackdawtide/1"}, Node).

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"slices"
)

// Files holds the paths of the PEM files of one process.
type Files struct {
	Authority   string
	Certificate string
	Key         string
}

// Trust is a process's own certificate and the CA that it trusts.
type Trust struct {
	own      tls.Certificate
	identity Identity
	roots    *x509.CertPool
}

// Load reads the files of one process.
func Load(f Files) (Trust, error) {
	authority, err := os.ReadFile(f.Authority)
	if err != nil {
		return Trust{}, fmt.Errorf("certificate of the authority: %w", err)
	}
	certificate, err := os.ReadFile(f.Certificate)
	if err != nil {
		return Trust{}, fmt.Errorf("own certificate: %w", err)
	}
	key, err := os.ReadFile(f.Key)
	if err != nil {
		return Trust{}, fmt.Errorf("own key: %w", err)
	}
	return NewTrust(authority, Pair{Certificate: certificate, Key: key})
}

// NewTrust returns a Trust of the CA's certificate and the process's own certificate and key, all PEM.
func NewTrust(authority []byte, own Pair) (Trust, error) {
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return Trust{}, PEMError{What: "certificate of the authority"}
	}
	c, err := tls.X509KeyPair(own.Certificate, own.Key)
	if err != nil {
		return Trust{}, fmt.Errorf("own certificate: %w", err)
	}
	i, err := IdentityOf(c.Leaf)
	if err != nil {
		return Trust{}, err
	}
	return Trust{own: c, identity: i, roots: roots}, nil
}

// Identity returns the identity in this process's certificate.
func (t Trust) Identity() Identity {
	return t.identity
}

// Server returns the configuration of a listener that accepts only peers with one of the given roles.
func (t Trust) Server(protocols []string, roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   protocols,
		Certificates: []tls.Certificate{t.own},
		ClientAuth:   tls.RequireAnyClientCert,
		VerifyConnection: func(s tls.ConnectionState) error {
			return t.verify(s, x509.ExtKeyUsageClientAuth, roles)
		},
	}
}

// Client returns the configuration for connections to nodes.
//
// The check of crypto/tls is off because it requires a matching host name or IP address, which the certificate of a
// replaced VM does not have; verify checks the chain and the role instead. VerifyConnection calls it because that
// function also runs when a session is resumed; VerifyPeerCertificate would not check a resumed session.
func (t Trust) Client(protocols []string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         protocols,
		Certificates:       []tls.Certificate{t.own},
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return t.verify(s, x509.ExtKeyUsageServerAuth, []Role{Node})
		},
	}
}

// Peer returns the peer's identity on a connection that was verified by one of the two configurations.
func Peer(s tls.ConnectionState) (Identity, error) {
	if len(s.PeerCertificates) == 0 {
		return Identity{}, IdentityError{Problem: "the peer presented no certificate"}
	}
	return IdentityOf(s.PeerCertificates[0])
}

func (t Trust) verify(s tls.ConnectionState, usage x509.ExtKeyUsage, roles []Role) error {
	i, err := Peer(s)
	if err != nil {
		return err
	}
	leaf := s.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err = leaf.Verify(x509.VerifyOptions{
		Roots:         t.roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return fmt.Errorf("verify %s: %w", i, err)
	}
	if !slices.Contains(roles, i.Role) {
		return IdentityError{Subject: leaf.Subject.String(), Problem: fmt.Sprintf("role %s is not accepted here", i.Role)}
	}
	return nil
}
