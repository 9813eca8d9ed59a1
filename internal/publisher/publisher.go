package publisher

// The operators' commands and the demo make their changes with this package, so that each change is a record with a
// unique id, made against the version that its author saw.
//
// Example: v, err := p.Load(ctx); version, err := p.Switch(ctx, v, "peak", v.Base(InForce)).

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/google/uuid"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/configurer"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/pkg/appender"
)

// InForce is the subject that a switch changes.
var InForce = configurer.Subject{Kind: configurer.SubjectInForce}

// PresetSubject returns the subject that publishing a preset changes.
func PresetSubject(name identifier.Preset) configurer.Subject {
	return configurer.Subject{Kind: configurer.SubjectPreset, Name: string(name)}
}

// Options configures a Publisher.
type Options struct {
	Log appender.Log
	// Operator is the operator's name in the records.
	Operator string
	Wall     func() clock.Wall
	// Random is the source of keys and of the ids of changes.
	Random io.Reader
	// AttemptTimeout bounds one request to the log; RetryPause is the time between two requests.
	AttemptTimeout clock.Duration
	RetryPause     clock.Duration
}

// Publisher makes changes to the configuration.
type Publisher struct {
	options Options
}

// New returns a Publisher.
func New(o Options) *Publisher {
	return &Publisher{options: o}
}

// Load reads the whole log; while the log is unavailable it retries until ctx ends.
func (p *Publisher) Load(ctx context.Context) (*View, error) {
	v := newView()
	var cause error
	for {
		err := p.catchUp(ctx, v)
		if err == nil {
			return v, nil
		}
		// An operator learns more from the error before the deadline than from the deadline itself.
		if cause == nil || !errors.Is(err, context.DeadlineExceeded) {
			cause = err
		}
		var u appender.Unavailable
		if !errors.As(err, &u) || !clock.Sleep(ctx, p.options.RetryPause.Std()) {
			return nil, fmt.Errorf("read the log: %w", cause)
		}
	}
}

func (p *Publisher) catchUp(ctx context.Context, v *View) error {
	ctx, cancel := context.WithTimeout(ctx, p.options.AttemptTimeout.Std())
	defer cancel()
	return v.catchUp(ctx, p.options.Log)
}

// Publish sets the content of a preset; base is the version of the preset that the change is made against.
func (p *Publisher) Publish(ctx context.Context, v *View, preset definer.Preset, base identifier.Version) (identifier.Version, error) {
	c, err := p.change(base)
	if err != nil {
		return 0, err
	}
	return p.appendAndConfirm(ctx, v, c.ID, configurer.PublishPreset{Change: c, Preset: preset})
}

// Switch puts a preset in force; base is the version of the in-force pointer that the change is made against.
func (p *Publisher) Switch(ctx context.Context, v *View, name identifier.Preset, base identifier.Version) (identifier.Version, error) {
	c, err := p.change(base)
	if err != nil {
		return 0, err
	}
	return p.appendAndConfirm(ctx, v, c.ID, configurer.SwitchPreset{Change: c, Preset: name})
}

// Issued is an accepted key with the only copy of its secret.
type Issued struct {
	Secret  Secret
	Key     definer.Key
	Version identifier.Version
}

// Issue creates and publishes a key of a team.
func (p *Publisher) Issue(ctx context.Context, v *View, team identifier.Team, label string) (Issued, error) {
	if !v.hasTeam(team) {
		return Issued{}, UnknownTeamError{Team: team}
	}
	secret, err := NewKey(p.options.Random)
	if err != nil {
		return Issued{}, err
	}
	c, err := p.change(0)
	if err != nil {
		return Issued{}, err
	}
	key := definer.Key{Hash: secret.Hash(), Team: team, Label: label, Issued: c.Wall}
	version, err := p.appendAndConfirm(ctx, v, c.ID, configurer.IssueKey{Change: c, Key: key})
	if err != nil {
		return Issued{}, fmt.Errorf("key %s: %w", key.Hash, err)
	}
	return Issued{Secret: secret, Key: key, Version: version}, nil
}

// Withdraw makes a key permanently invalid.
func (p *Publisher) Withdraw(ctx context.Context, v *View, k configurer.VersionedKey) (identifier.Version, error) {
	c, err := p.change(k.Version)
	if err != nil {
		return 0, err
	}
	return p.appendAndConfirm(ctx, v, c.ID, configurer.WithdrawKey{Change: c, Hash: k.Key.Hash})
}

func (p *Publisher) change(base identifier.Version) (configurer.Change, error) {
	id, err := uuid.NewRandomFromReader(p.options.Random)
	if err != nil {
		return configurer.Change{}, fmt.Errorf("create change id: %w", err)
	}
	return configurer.Change{
		ID:       configurer.ChangeID(id.String()),
		Operator: p.options.Operator,
		Wall:     p.options.Wall(),
		Base:     base,
	}, nil
}
