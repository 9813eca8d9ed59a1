// A process that is restarted at its old address has none of the connections of the previous process. Without a reset,
// peers would wait for PeerTimeout, several seconds at each restart, before the calls that they have sent fail. The key
// for QUIC's stateless reset must be the same after a restart, and a node stores nothing; so the key is derived from the
// node's private key, which no other node has.
//
// Example: a peer's next packet to the restarted process is answered with a reset, and the peer's calls fail within one
// round trip, phase sent.

package transporter

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"

	"github.com/quic-go/quic-go"
)

const resetKeyLabel = "jackdawtide stateless reset"

// resetKey returns nil when the private key is not available; peers then detect a restart only by PeerTimeout.
func resetKey(c *tls.Config) *quic.StatelessResetKey {
	if len(c.Certificates) == 0 {
		return nil
	}
	private, err := x509.MarshalPKCS8PrivateKey(c.Certificates[0].PrivateKey)
	if err != nil {
		return nil
	}
	mac := hmac.New(sha256.New, private)
	mac.Write([]byte(resetKeyLabel))
	return (*quic.StatelessResetKey)(mac.Sum(nil))
}
