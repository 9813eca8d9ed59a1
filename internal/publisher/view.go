package publisher

// An operator's view is folded by the nodes' own configurer, from the same records, so that it can never say
// accepted where the nodes say refused.
//
// Example: v, err := p.Load(ctx); v.Version() is what every node has once it has read as far.

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/configurer"
	"github.com/jackdawtide/jackdawtide/internal/encoder"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/pkg/appender"
)

const firstOffset identifier.Offset = 1

// View is the configuration as the log tells it up to some offset.
type View struct {
	*configurer.Configurer
	clock *clock.Clock
	next  appender.Offset
	// earliest is where the log began when the last gap was met.
	earliest appender.Offset
}

func newView() *View {
	return &View{
		Configurer: configurer.New(configurer.Options{
			// No peers, so nothing is drawn from it; the reducer wants one all the same.
			Rand:   rand.New(rand.NewPCG(1, 1)),
			Decode: encoder.Decode,
			First:  firstOffset,
		}),
		clock: clock.New(),
	}
}

// catchUp reads to the end of the log.
func (v *View) catchUp(ctx context.Context, log appender.Log) error {
	for {
		b, err := log.Read(ctx, v.next, appender.MaxLimit, 0)
		var expired appender.Expired
		if errors.As(err, &expired) {
			// The next read gets the records from there on, and with them the gap is seen.
			v.next = expired.Earliest
			continue
		}
		if err != nil {
			return err
		}
		v.applyBatch(b)
		if b.Next >= b.End {
			return v.checkComplete()
		}
	}
}

func (v *View) applyBatch(b appender.Batch) {
	records := make([]configurer.Record, 0, len(b.Records))
	for _, r := range b.Records {
		records = append(records, configurer.Record{Offset: identifier.Offset(r.Offset), Raw: r.Data})
	}
	v.earliest = b.Earliest
	v.next = b.Next
	// The effects are for a node: passing on to peers, delivering other matters' records.
	v.LogRead(configurer.Batch{
		Earliest: identifier.Offset(b.Earliest),
		Next:     identifier.Offset(b.End),
		Records:  records,
		Asked:    v.clock.Now(),
	}, v.clock.Now(), v.clock.Wall())
}

func (v *View) checkComplete() error {
	if v.Complete() {
		return nil
	}
	return GapError{Earliest: v.earliest}
}

// FindKey returns the one key whose hash begins with the prefix.
func (v *View) FindKey(prefix string) (configurer.VersionedKey, error) {
	var found configurer.VersionedKey
	matches := 0
	for _, k := range v.Keys() {
		if prefix != "" && strings.HasPrefix(string(k.Key.Hash), prefix) {
			found = k
			matches++
		}
	}
	if matches != 1 {
		return configurer.VersionedKey{}, UnknownKeyError{Prefix: prefix, Matches: matches}
	}
	return found, nil
}

func (v *View) hasTeam(name identifier.Team) bool {
	for _, p := range v.Presets() {
		for _, t := range p.Preset.Teams {
			if t.Name == name {
				return true
			}
		}
	}
	return false
}
