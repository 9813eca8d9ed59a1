// Shared by the tests of this package: temporary certificates, a handler made of functions, a fleet of nodes.

package transporter

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"io"
	"math/big"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

// newAuthority returns the server's and the client's TLS configuration of a temporary authority.
func newAuthority(t testing.TB) (server, client *tls.Config) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test"},
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	parsed, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	own := []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}
	server = &tls.Config{Certificates: own, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert}
	client = &tls.Config{Certificates: own, RootCAs: pool, ServerName: "127.0.0.1"}
	return server, client
}

type funcHandler struct {
	call    func(ctx context.Context, from identifier.Node, head CallHead, body io.Reader, w AnswerWriter)
	control func(from identifier.Node, message []byte)
}

func (h funcHandler) ServeCall(
	ctx context.Context, from identifier.Node, head CallHead, body io.Reader, w AnswerWriter,
) {
	h.call(ctx, from, head, body, w)
}

func (h funcHandler) ServeControl(from identifier.Node, message []byte) {
	if h.control != nil {
		h.control(from, message)
	}
}

// echo answers with the request's body.
func echo(_ context.Context, _ identifier.Node, head CallHead, body io.Reader, w AnswerWriter) {
	if w.WriteHead(AnswerHead{Status: 200, Header: head.Header}) != nil {
		return
	}
	if _, err := io.Copy(w, body); err != nil {
		return
	}
	_ = w.Close(AnswerTail{Allowance: head.Allowance, Threshold: 7})
}

// promptEcho is echo with a head that does not wait for the body.
func promptEcho(_ context.Context, _ identifier.Node, _ CallHead, body io.Reader, w AnswerWriter) {
	_ = w.WriteHead(AnswerHead{Status: 200})
	_ = w.Flush()
	if _, err := io.Copy(w, body); err == nil {
		_ = w.Close(AnswerTail{})
	}
}

// fleet starts nodes of one authority and stops them with the test.
type fleet struct {
	t              testing.TB
	server, client *tls.Config
}

func newFleet(t testing.TB) *fleet {
	f := &fleet{t: t}
	f.server, f.client = newAuthority(t)
	return f
}

func (f *fleet) start(self identifier.Node, h Handler, change func(*Options)) (*Transporter, Peer) {
	f.t.Helper()
	o := Options{Listen: "127.0.0.1:0", ServerTLS: f.server, ClientTLS: f.client, Self: self, Domain: "west"}
	if change != nil {
		change(&o)
	}
	n := New(o, h)
	assert.NilError(f.t, n.Start(context.Background()))
	f.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = n.Close(ctx)
	})
	return n, Peer{Node: self, Address: n.Address()}
}

// crash closes a node's socket without notice to its peers, as a crash of the process does.
func crash(n *Transporter) {
	_ = n.transport.Conn.Close()
}

// clientOfOtherAuthority returns a client that trusts the authority of ours but presents a certificate of another one.
func clientOfOtherAuthority(ours, stranger *fleet) *tls.Config {
	c := stranger.client.Clone()
	c.RootCAs = ours.client.RootCAs
	return c
}

func withoutCertificate(ours *fleet) *tls.Config {
	c := ours.client.Clone()
	c.Certificates = nil
	return c
}
