package publisher

// A key is shown once and never stored: what lies on the log, in dumps and in logs is its hash, from which 256
// random bits can't be guessed. The prefix lets a scanner of leaked secrets know a key when it meets one.
//
// Example: NewKey(rand.Reader) gives jt_ and 43 characters; Hash of it is what IssueKey publishes.

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	keyPrefix = "jt_"
	keyBytes  = 32
)

// Secret is a team's key; its text form and its form in logs hide it.
type Secret struct {
	text string
}

// NewKey makes a key of 256 bits read from random.
func NewKey(random io.Reader) (Secret, error) {
	b := make([]byte, keyBytes)
	if _, err := io.ReadFull(random, b); err != nil {
		return Secret{}, fmt.Errorf("make key: %w", err)
	}
	return Secret{text: keyPrefix + base64.RawURLEncoding.EncodeToString(b)}, nil
}

// Reveal returns the key itself, for the one time that it is shown.
func (s Secret) Reveal() string {
	return s.text
}

// String keeps the key out of whatever prints the value that holds it.
func (s Secret) String() string {
	return keyPrefix + "(hidden)"
}

// GoString keeps the key out of %#v.
func (s Secret) GoString() string {
	return s.String()
}

// Hash returns what is published of the key.
func (s Secret) Hash() identifier.KeyHash {
	return HashOf(s.text)
}

// HashOf returns what is published of a key in its text form.
func HashOf(key string) identifier.KeyHash {
	sum := sha256.Sum256([]byte(key))
	return identifier.KeyHash(hex.EncodeToString(sum[:]))
}

// LooksLikeKey tells whether a text has the form of a key.
func LooksLikeKey(text string) bool {
	return strings.HasPrefix(text, keyPrefix)
}
