// The name of a bank's claim contains its failure domain and slot. When the log names a new holder, a node parses the
// claim's name to learn which bank's requests go to that holder.
//
// Example: ParseClaimName("rates/alfa/2") returns domain "alfa" and slot 2.

package granter

import (
	"strconv"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const claimPrefix = "rates/"

// ParseClaimName returns the failure domain and slot of a bank's claim; ok is false for other claims.
func ParseClaimName(n claimer.Name) (domain identifier.FailureDomain, slot int, ok bool) {
	rest, found := strings.CutPrefix(string(n), claimPrefix)
	if !found {
		return "", 0, false
	}
	i := strings.LastIndexByte(rest, '/')
	if i < 0 {
		return "", 0, false
	}
	slot, err := strconv.Atoi(rest[i+1:])
	if err != nil || slot < 0 {
		return "", 0, false
	}
	return identifier.FailureDomain(rest[:i]), slot, true
}
