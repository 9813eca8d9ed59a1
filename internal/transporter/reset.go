// A process that is restarted at its old address knows none of the connections of its forerunner. Unless it can say
// so, its peers wait for PeerTimeout with every call they have sent it, several seconds each restart. The key by which
// QUIC lets it say so must outlive the process, which keeps nothing; so it is made from the node's private key, which
// nobody else has.
//
// Example: a peer's next packet to the restarted process is answered by a reset, and its calls fail within a
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

// resetKey returns nil when the private key is not at hand; peers then wait for their timeout.
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
