package certifier

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const valid = time.Hour

func issueTrust(t *testing.T, a Authority, i Identity, now time.Time) Trust {
	t.Helper()
	p, err := a.Issue(i, now, valid)
	assert.NilError(t, err)
	dir := t.TempDir()
	f := Files{
		Authority:   filepath.Join(dir, "ca.pem"),
		Certificate: filepath.Join(dir, "own.pem"),
		Key:         filepath.Join(dir, "own.key"),
	}
	assert.NilError(t, os.WriteFile(f.Authority, a.Certificate, 0o600))
	assert.NilError(t, os.WriteFile(f.Certificate, p.Certificate, 0o600))
	assert.NilError(t, os.WriteFile(f.Key, p.Key, 0o600))
	trust, err := Load(f)
	assert.NilError(t, err)
	return trust
}

// handshake returns the error of each side after the handshake and the exchange of one byte in each direction.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, l.Close()) }()
	done := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			done <- err
			return
		}
		defer func() { _ = c.Close() }()
		done <- exchange(c)
	}()
	c, err := tls.DialWithDialer(&net.Dialer{Timeout: 5 * time.Second}, "tcp", l.Addr().String(), client)
	if err == nil {
		err = exchange(c)
		_ = c.Close()
	}
	return <-done, err
}

func exchange(c net.Conn) error {
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	_, err := c.Read(make([]byte, 1))
	return err
}

// A client on the network impersonates a node, with no certificate, one of another CA, an expired one or an operator's.
// If it were accepted, it could grant itself every team's rate.
func TestHandshakeChecksCertificateAndRole(t *testing.T) {
	now := time.Now()
	a, err := NewAuthority(now, valid)
	assert.NilError(t, err)
	foreign, err := NewAuthority(now, valid)
	assert.NilError(t, err)
	node := Identity{Role: Node, Name: "portal-1"}
	operator := Identity{Role: Operator, Name: "eva"}
	trust := issueTrust(t, a, node, now)

	cases := map[string]struct {
		client *tls.Config
		roles  []Role
		// wantServerError and wantClientError are substrings of the expected errors; empty means that no error is expected.
		wantServerError string
		wantClientError string
	}{
		"node":           {client: issueTrust(t, a, Identity{Node, "portal-2"}, now).Client(nil), roles: []Role{Node}},
		"operator":       {client: issueTrust(t, a, operator, now).Client(nil), roles: []Role{Node, Operator}},
		"no certificate": {client: &tls.Config{InsecureSkipVerify: true}, roles: []Role{Node}, wantServerError: "certificate", wantClientError: "certificate"},
		"another CA":     {client: issueTrust(t, foreign, node, now).Client(nil), roles: []Role{Node}, wantServerError: "certificate", wantClientError: "unknown authority"},
		"expired":        {client: issueTrust(t, a, node, now.Add(-2*valid)).Client(nil), roles: []Role{Node}, wantServerError: "expired", wantClientError: "certificate"},
		"wrong role":     {client: issueTrust(t, a, operator, now).Client(nil), roles: []Role{Node}, wantServerError: "role operator is not accepted here", wantClientError: "certificate"},
		"old TLS":        {client: &tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12}, roles: []Role{Node}, wantServerError: "unsupported versions", wantClientError: "protocol version"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			serverErr, clientErr := handshake(t, trust.Server(nil, c.roles...), c.client)
			check(t, serverErr, c.wantServerError)
			check(t, clientErr, c.wantClientError)
		})
	}
	t.Run("operator as server", func(t *testing.T) {
		impostor := issueTrust(t, a, operator, now).Server(nil, Node)
		_, clientErr := handshake(t, impostor, trust.Client(nil))
		check(t, clientErr, "incompatible key usage")
	})
	assert.Equal(t, trust.Identity(), node)
}

func check(t *testing.T, err error, part string) {
	t.Helper()
	if part == "" {
		assert.NilError(t, err)
		return
	}
	assert.ErrorContains(t, err, part)
}

func TestBadFiles(t *testing.T) {
	now := time.Now()
	a, err := NewAuthority(now, valid)
	assert.NilError(t, err)
	p, err := a.Issue(Identity{Node, "x"}, now, valid)
	assert.NilError(t, err)
	cases := map[string]struct {
		authority []byte
		own       Pair
		want      string
	}{
		"no CA":       {authority: []byte("x"), own: p, want: "no PEM block"},
		"no key":      {authority: a.Certificate, own: Pair{Certificate: p.Certificate}, want: "own certificate"},
		"other key":   {authority: a.Certificate, own: Pair{Certificate: p.Certificate, Key: a.Key}, want: "own certificate"},
		"no identity": {authority: a.Certificate, own: a.Pair, want: "names no node"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := NewTrust(c.authority, c.own)
			assert.ErrorContains(t, err, c.want)
		})
	}
	_, err = LoadAuthority(Pair{Certificate: a.Certificate})
	assert.ErrorContains(t, err, "no PEM block for the key")
}
