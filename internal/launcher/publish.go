// Presets and keys are published to the fleet like an operator's changes: as records in the log, each based on the version
// that it was made for.

package launcher

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/jackdawtide/jackdawtide/internal/claimer"
	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/inspector"
	"github.com/jackdawtide/jackdawtide/internal/publisher"
)

const (
	readyTimeout      = 20 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// PublishPlan publishes the plan's presets, puts the first in force and issues a key for each of its teams.
func (f *Fleet) PublishPlan(ctx context.Context) error {
	for _, p := range f.options.Plan.Presets {
		v, err := f.Publisher.Load(ctx)
		if err != nil {
			return err
		}
		if _, err := f.Publisher.Publish(ctx, v, p, v.Base(publisher.PresetSubject(p.Name))); err != nil {
			return fmt.Errorf("publish preset %s: %w", p.Name, err)
		}
	}
	if _, err := f.Switch(ctx, f.options.Plan.Presets[0].Name); err != nil {
		return err
	}
	for _, t := range f.options.Plan.Presets[0].Teams {
		key, err := f.Issue(ctx, t.Name)
		if err != nil {
			return err
		}
		f.Keys[t.Name] = key
	}
	return nil
}

// Switch puts a preset in force and returns the version that the switch made.
func (f *Fleet) Switch(ctx context.Context, name identifier.Preset) (identifier.Version, error) {
	v, err := f.Publisher.Load(ctx)
	if err != nil {
		return 0, err
	}
	version, err := f.Publisher.Switch(ctx, v, name, v.Base(publisher.InForce))
	if err != nil {
		return 0, fmt.Errorf("switch to %s: %w", name, err)
	}
	return version, nil
}

// Issue makes a key for a team.
func (f *Fleet) Issue(ctx context.Context, team identifier.Team) (string, error) {
	v, err := f.Publisher.Load(ctx)
	if err != nil {
		return "", err
	}
	issued, err := f.Publisher.Issue(ctx, v, team, "launcher")
	if err != nil {
		return "", fmt.Errorf("issue a key for %s: %w", team, err)
	}
	return issued.Secret.Reveal(), nil
}

// Withdraw withdraws a key.
func (f *Fleet) Withdraw(ctx context.Context, key string) error {
	v, err := f.Publisher.Load(ctx)
	if err != nil {
		return err
	}
	k, err := v.FindKey(string(publisher.HashOf(key)))
	if err != nil {
		return err
	}
	_, err = f.Publisher.Withdraw(ctx, v, k)
	return err
}

// AwaitReady waits until every node has the newest version in force and every claim that it knows has a holder.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	v, err := f.Publisher.Load(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, m := range f.Members {
		if err := f.awaitVersion(ctx, m, v.Version()); err != nil {
			return err
		}
		if err := f.awaitClaims(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

// NotReadyError reports a node that did not become ready within readyTimeout.
type NotReadyError struct {
	Node  string
	What  string
	Cause error
}

// Error names the node and the missing condition.
func (e NotReadyError) Error() string {
	return fmt.Sprintf("node %s: %s: %v", e.Node, e.What, e.Cause)
}

// Unwrap returns the cause.
func (e NotReadyError) Unwrap() error { return e.Cause }

func (f *Fleet) awaitVersion(ctx context.Context, m *Member, v identifier.Version) error {
	c, err := inspector.NewClient(m.AdminURL(), http.DefaultClient)
	if err != nil {
		return err
	}
	for {
		st, err := c.Status(ctx)
		if err == nil && st.Self.Version >= int64(v) {
			return nil
		}
		if !clock.Sleep(ctx, readyPollInterval) {
			return NotReadyError{Node: m.Name, What: fmt.Sprintf("version %d not in force", v), Cause: ctx.Err()}
		}
	}
}

// A claim is ready once its holder may act. At the start of a fleet this takes as long as the longest-lived grant that an
// earlier holder might have made.
func (f *Fleet) awaitClaims(ctx context.Context, m *Member) error {
	for {
		held, known := f.claimsHeld(m)
		if known > 0 && held == known {
			return nil
		}
		if !clock.Sleep(ctx, readyPollInterval) {
			return NotReadyError{Node: m.Name, What: fmt.Sprintf("%d of %d claims held", held, known), Cause: ctx.Err()}
		}
	}
}

// claimsHeld returns how many claims the member knows, and for how many of these some node has authority.
func (f *Fleet) claimsHeld(m *Member) (held, known int) {
	authority := make(map[claimer.Name]bool)
	for _, other := range f.Members {
		for _, c := range other.Node.Dump().Claims {
			authority[c.Name] = authority[c.Name] || c.Authority
		}
	}
	for _, c := range m.Node.Dump().Claims {
		known++
		if authority[c.Name] {
			held++
		}
	}
	return held, known
}
