package relayer

// A request is known again, whatever its id and wherever it is sent, by a hash of what it asks for. A nested call also has one
// together with its root request: many runs may make the same call, and it may be bad for one of them only.
//
// Example: Jackdaw-Print: 5f01c2a9d3b4,77d0e1f2a3b4 is a nested call: its own hash, and that with its root request's.

import (
	"encoding/binary"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// fingerprintMask keeps 48 bits of a hash, to save bytes between failure domains.
	fingerprintMask    = 1<<48 - 1
	fingerprintBase    = 16
	fingerprintBits    = 64
	maxFingerprints    = 2
	fingerprintsField  = fleetPrefix + "Print"
	fingerprintDivider = "\x00"
)

// fingerprints returns those of a request that enters here: its own, and for a nested call also that with its root request.
func (r *Relayer) fingerprints(request *http.Request, s conductor.Send, body *replayable) []identifier.Fingerprint {
	h := xxh3.New()
	for _, part := range []string{
		request.Method, strings.ToLower(request.Host), request.RequestURI, string(s.Team), strconv.FormatInt(body.length, 10),
	} {
		_, _ = h.WriteString(part)
		_, _ = h.WriteString(fingerprintDivider)
	}
	_, _ = h.Write(body.buffered)
	own := identifier.Fingerprint(h.Sum64() & fingerprintMask)
	if !s.Nested {
		return []identifier.Fingerprint{own}
	}
	root := identifier.Fingerprint(0)
	run := r.parent(request.Header.Get(r.options.Headers.RequestID))
	r.View(func(c *conductor.Conductor, _ clock.Time) { root = c.RootFingerprint(run) })
	if root == 0 {
		return []identifier.Fingerprint{own}
	}
	var both [16]byte
	binary.BigEndian.PutUint64(both[:8], uint64(own))
	binary.BigEndian.PutUint64(both[8:], uint64(root))
	return []identifier.Fingerprint{own, identifier.Fingerprint(xxh3.Hash(both[:]) & fingerprintMask)}
}

func formatFingerprints(all []identifier.Fingerprint) string {
	texts := make([]string, len(all))
	for i, f := range all {
		texts[i] = strconv.FormatUint(uint64(f), fingerprintBase)
	}
	return strings.Join(texts, ",")
}

// FingerprintError reports a list of fingerprints from another node that can't be read.
type FingerprintError struct {
	Field string
	Value string
}

// Error names the field and its value.
func (e FingerprintError) Error() string {
	return fmt.Sprintf("header field %s is %q, expected at most %d hexadecimal numbers", e.Field, e.Value, maxFingerprints)
}

func parseFingerprints(text string) ([]identifier.Fingerprint, error) {
	if text == "" {
		return nil, nil
	}
	texts := strings.Split(text, ",")
	if len(texts) > maxFingerprints {
		return nil, FingerprintError{Field: fingerprintsField, Value: text}
	}
	all := make([]identifier.Fingerprint, 0, len(texts))
	for _, t := range texts {
		f, err := strconv.ParseUint(t, fingerprintBase, fingerprintBits)
		if err != nil {
			return nil, FingerprintError{Field: fingerprintsField, Value: text}
		}
		all = append(all, identifier.Fingerprint(f))
	}
	return all, nil
}
