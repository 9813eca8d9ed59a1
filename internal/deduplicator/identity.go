// The owner of an id must follow from the id's text alone; otherwise two nodes with different knowledge would ask two
// owners. An id that contains its time (UUIDv7) lets a new owner determine whether the request may have started
// before it took over. An id may also name its home, a failure domain, so that requests made there need nothing
// outside of it.
//
// Example: "north:01936c2e-…" is owned by the holder of a claim such as "ids/north/17", at whichever node it arrives.

package deduplicator

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/zeebo/xxh3"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
)

const (
	// Slots is the number of claims that share the ids of one home. It must never change, since an id would then
	// change its owner.
	Slots = 32
	// MaxIDLength bounds an id's text, in bytes.
	MaxIDLength = 128

	uuidLength = 36
)

// Claim is the name of the claim whose holder owns an id.
type Claim string

// ID is a parsed idempotency id.
type ID struct {
	// Text is the normalized text: a UUID in lower case, any other text unchanged.
	Text identifier.Idempotency
	// Home is the failure domain that the id names, if any.
	Home identifier.FailureDomain
	// Time is when the caller created the id; Timed is set if it is known.
	Time  clock.Wall
	Timed bool
}

// IDError reports a text that isn't a valid id.
type IDError struct {
	Reason string
}

// Error returns the reason.
func (e IDError) Error() string {
	return fmt.Sprintf("idempotency id: %s", e.Reason)
}

// ParseID parses the id in a caller's header. A prefix counts as a home only before a UUIDv7, so that an opaque id
// with a colon is left as it is.
func ParseID(text string) (ID, error) {
	if text == "" {
		return ID{}, IDError{Reason: "empty"}
	}
	if len(text) > MaxIDLength {
		return ID{}, IDError{Reason: "longer than 128 bytes"}
	}
	for _, b := range []byte(text) {
		if b <= ' ' || b > '~' {
			return ID{}, IDError{Reason: "holds a space or a character that is not ASCII"}
		}
	}
	home, rest, found := strings.Cut(text, ":")
	if found && home != "" {
		if at, ok := timeOfUUIDv7(rest); ok {
			t := home + ":" + strings.ToLower(rest)
			return ID{Text: identifier.Idempotency(t), Home: identifier.FailureDomain(home), Time: at, Timed: true}, nil
		}
	}
	// The same UUID in another case on a retry means the same request.
	if at, ok := timeOfUUIDv7(text); ok {
		return ID{Text: identifier.Idempotency(strings.ToLower(text)), Time: at, Timed: true}, nil
	}
	return ID{Text: identifier.Idempotency(text)}, nil
}

func timeOfUUIDv7(text string) (clock.Wall, bool) {
	if len(text) != uuidLength {
		return 0, false
	}
	u, err := uuid.Parse(text)
	if err != nil || u.Version() != 7 {
		return 0, false
	}
	ms := int64(0)
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return clock.Wall(ms), true
}

// ClaimOf returns the claim whose holder owns the team's id.
func ClaimOf(team identifier.Team, id ID) Claim {
	h := xxh3.HashString(string(id.Text)) ^ xxh3.HashStringSeed(string(team), 1)
	slot := strconv.FormatUint(h%Slots, 10)
	if id.Home != "" {
		return Claim("ids/" + string(id.Home) + "/" + slot)
	}
	return Claim("ids/" + slot)
}

// Claims returns the names of all claims without a home, or of those of one home.
func Claims(home identifier.FailureDomain) []Claim {
	prefix := "ids/"
	if home != "" {
		prefix += string(home) + "/"
	}
	names := make([]Claim, Slots)
	for i := range names {
		names[i] = Claim(prefix + strconv.Itoa(i))
	}
	return names
}
