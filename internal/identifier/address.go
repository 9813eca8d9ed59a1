// Addresses come from records and announcements that anything may have written.
//
// Example: "10.0.0.9:7400" can be called, "10.0.0.9", "10.0.0.9:0" and "10.0.0.9:70000" can't.

package identifier

import (
	"net"
	"strconv"
)

// MaxNameBytes bounds the names of nodes, services and endpoints; the key of a record in the platform's store holds no more.
const MaxNameBytes = 255

// IsAddress reports whether a text is a host and a port that can be called.
func IsAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" || len(host) > MaxNameBytes {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}
