package certifier

// VMs are replaced at any time and are reached by IP address, so a host name identifies no peer. Instead a peer's
// certificate has a URI with the role and the name that the CA assigned to it.
//
// Example: spiffe://jackdawtide/node/portal-1 is the node portal-1.

import (
	"crypto/x509"
	"fmt"
	"net/url"
	"strings"
)

// Role determines what the owner of a certificate may do.
type Role string

// The roles.
const (
	Node     Role = "node"
	Operator Role = "operator"
)

// Identity is the role and the name that the CA assigned to the owner of a certificate.
type Identity struct {
	Role Role
	Name string
}

const (
	identityScheme = "spiffe"
	identityHost   = "jackdawtide"
)

// String returns the identity as the URI in the certificate.
func (i Identity) String() string {
	return i.uri().String()
}

func (i Identity) uri() *url.URL {
	return &url.URL{Scheme: identityScheme, Host: identityHost, Path: "/" + string(i.Role) + "/" + i.Name}
}

// IdentityError reports a certificate without an identity of this system, or with a role that is not accepted.
type IdentityError struct {
	Subject string
	Problem string
}

// Error names the certificate's subject and the problem.
func (e IdentityError) Error() string {
	return fmt.Sprintf("certificate of %q: %s", e.Subject, e.Problem)
}

// IdentityOf returns the identity that a certificate names.
func IdentityOf(c *x509.Certificate) (Identity, error) {
	for _, u := range c.URIs {
		if u.Scheme != identityScheme || u.Host != identityHost {
			continue
		}
		role, name, ok := strings.Cut(strings.TrimPrefix(u.Path, "/"), "/")
		if ok && name != "" && (Role(role) == Node || Role(role) == Operator) {
			return Identity{Role: Role(role), Name: name}, nil
		}
	}
	return Identity{}, IdentityError{Subject: c.Subject.String(), Problem: "it names no node and no operator"}
}
