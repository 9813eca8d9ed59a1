package publisher

// An operator's view is built by the same configurer as the nodes use, from the same records, so that it can't show a
// change as accepted that the nodes refuse.
//
// Example: v, err := p.Load(ctx); v.Version() is the version of every node that has read the same records.

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

// View is the configuration that the log's records up to some offset give.
type View struct {
	*configurer.Configurer
	clock *clock.Clock
	next  appender.Offset
	// earliest is the log's earliest offset at the last read; a GapError names it.
	earliest appender.Offset
}

func newView() *View {
	return &View{
		Configurer: configurer.New(configurer.Options{
			// A view has no peers; the configurer needs a random source for its intervals all the same.
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
			// The next read starts at the earliest record; the configurer then detects the gap.
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
	// The returned effects are dropped: sending to peers and delivering other records is the work of nodes.
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
