package publisher

// A key is shown once and never stored: the log, dumps and log lines hold only its hash, from which its 256 random bits
// can't be recovered. The prefix lets scanners for leaked secrets recognize a key.
//
// Example: NewKey(rand.Reader) gives jt_ and 43 characters; IssueKey publishes its Hash.

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

// Secret is a team's key; its printed forms do not contain the key.
type Secret struct {
	text string
}

// NewKey returns a key of 256 bits read from random.
func NewKey(random io.Reader) (Secret, error) {
	b := make([]byte, keyBytes)
	if _, err := io.ReadFull(random, b); err != nil {
		return Secret{}, fmt.Errorf("create key: %w", err)
	}
	return Secret{text: keyPrefix + base64.RawURLEncoding.EncodeToString(b)}, nil
}

// Reveal returns the key itself, to be shown once.
func (s Secret) Reveal() string {
	return s.text
}

// String returns a placeholder, so that printing a value that contains the key does not reveal it.
func (s Secret) String() string {
	return keyPrefix + "(hidden)"
}

// GoString returns the same placeholder for %#v.
func (s Secret) GoString() string {
	return s.String()
}

// Hash returns the hash under which the key is published.
func (s Secret) Hash() identifier.KeyHash {
	return HashOf(s.text)
}

// HashOf returns the hash under which a key in text form is published.
func HashOf(key string) identifier.KeyHash {
	sum := sha256.Sum256([]byte(key))
	return identifier.KeyHash(hex.EncodeToString(sum[:]))
}

// LooksLikeKey reports whether a text has the prefix of a key.
func LooksLikeKey(text string) bool {
	return strings.HasPrefix(text, keyPrefix)
}
