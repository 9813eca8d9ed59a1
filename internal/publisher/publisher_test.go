package publisher

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/configurer"
	"github.com/jackdawtide/jackdawtide/internal/definer"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/logkeeper"
	"github.com/jackdawtide/jackdawtide/pkg/appender"
)

func newPublisher(log appender.Log, random io.Reader) *Publisher {
	return New(Options{
		Log:            log,
		Operator:       "eva",
		Wall:           func() clock.Wall { return 1 },
		Random:         random,
		AttemptTimeout: clock.Second,
	})
}

func preset(name identifier.Preset, weight int) definer.Preset {
	return definer.Preset{Name: name, Teams: []definer.Team{{Name: "agents", Rate: 1000, Burst: 1000, Weight: weight}}}
}

// model is the expected state: the version of each subject.
type model struct {
	version  identifier.Version
	versions map[configurer.Subject]identifier.Version
}

// checkOutcome compares the outcome of a change made against base with the model and updates the model.
func (m *model) checkOutcome(rt *rapid.T, s configurer.Subject, base, got identifier.Version, err error) {
	var conflict configurer.Conflict
	if base != m.versions[s] {
		assert.Assert(rt, errors.As(err, &conflict), "%v", err)
		assert.Equal(rt, conflict.Current, m.versions[s])
		return
	}
	assert.NilError(rt, err)
	m.version++
	m.versions[s] = m.version
	assert.Equal(rt, got, m.version)
}

// Several operators make changes with views of different age, and the log loses the answers of appends that took
// effect. If one change were decided on twice, or two changes against the same version were both reported as accepted,
// an operator would assume a preset that is not in force, and end users would be served by other rules than announced.
func TestOperatorsRace(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(rt *rapid.T) {
		k := logkeeper.New(logkeeper.Options{})
		p := newPublisher(k, rand.Reader)
		m := model{versions: map[configurer.Subject]identifier.Version{}}
		views := make([]*View, 3)
		for i := range views {
			v, err := p.Load(ctx)
			assert.NilError(rt, err)
			views[i] = v
		}
		names := rapid.SampledFrom([]identifier.Preset{"ordinary", "peak"})
		draw := func(rt *rapid.T) *View {
			k.Set(logkeeper.Switches{LostAnswers: rapid.IntRange(0, 3).Draw(rt, "lost")})
			return views[rapid.IntRange(0, len(views)-1).Draw(rt, "operator")]
		}
		rt.Repeat(map[string]func(*rapid.T){
			"publish": func(rt *rapid.T) {
				v, name := draw(rt), names.Draw(rt, "name")
				base := v.Base(PresetSubject(name))
				got, err := p.Publish(ctx, v, preset(name, int(m.version)+1), base)
				m.checkOutcome(rt, PresetSubject(name), base, got, err)
			},
			"switch": func(rt *rapid.T) {
				v, name := draw(rt), names.Draw(rt, "name")
				if m.versions[PresetSubject(name)] == 0 {
					rt.Skip("never published")
				}
				base := v.Base(InForce)
				got, err := p.Switch(ctx, v, name, base)
				m.checkOutcome(rt, InForce, base, got, err)
			},
			"refresh": func(rt *rapid.T) {
				assert.NilError(rt, draw(rt).catchUp(ctx, k))
			},
			"": func(rt *rapid.T) {
				fresh, err := p.Load(ctx)
				assert.NilError(rt, err)
				assert.Equal(rt, fresh.Version(), m.version)
				assert.Equal(rt, fresh.Base(InForce), m.versions[InForce])
			},
		})
	})
}

// failingLog is a log whose appends or reads fail with the given errors.
type failingLog struct {
	appender.Log
	appendErr, readErr error
}

func (f *failingLog) Append(ctx context.Context, data []byte) (appender.Offset, error) {
	if f.appendErr != nil {
		return 0, f.appendErr
	}
	return f.Log.Append(ctx, data)
}

func (f *failingLog) Read(ctx context.Context, from appender.Offset, limit int, wait time.Duration) (appender.Batch, error) {
	if f.readErr != nil {
		return appender.Batch{}, f.readErr
	}
	return f.Log.Read(ctx, from, limit, wait)
}

// The log becomes unavailable in the middle of a change. The operator must learn whether certainly nothing was changed
// or the outcome is unknown; a wrong "nothing was changed" makes them publish something else over an accepted change.
func TestLogUnavailableDuringChange(t *testing.T) {
	cause := errors.New("gone")
	lost := appender.Unavailable{Operation: "append", Cause: cause}
	cases := map[string]struct {
		appendErr, readErr error
		inDoubt            bool
	}{
		"not sent":              {appendErr: appender.Unavailable{NotSent: true, Cause: cause}},
		"refused":               {appendErr: appender.Refused{Operation: "append", Status: 413}},
		"answer lost":           {appendErr: lost, inDoubt: true},
		"added, not read back":  {readErr: appender.Unavailable{Operation: "read", Cause: cause}, inDoubt: true},
		"not sent, reads fail":  {appendErr: appender.Unavailable{NotSent: true, Cause: cause}, readErr: cause},
		"answer lost, no reads": {appendErr: lost, readErr: cause, inDoubt: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			log := &failingLog{Log: logkeeper.New(logkeeper.Options{})}
			p := newPublisher(log, rand.Reader)
			v, err := p.Load(context.Background())
			assert.NilError(t, err)
			log.appendErr, log.readErr = c.appendErr, c.readErr
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			defer cancel()
			_, err = p.Publish(ctx, v, preset("peak", 1), 0)
			var inDoubt InDoubtError
			var notAppended NotAppendedError
			assert.Equal(t, errors.As(err, &inDoubt), c.inDoubt, "%v", err)
			assert.Equal(t, errors.As(err, &notAppended), !c.inDoubt, "%v", err)
		})
	}
}

// A log has dropped its first records before any node appended a snapshot. From the remaining records alone a withdrawn
// key could look valid and an old preset new, so the operator gets a GapError.
func TestGapIsReported(t *testing.T) {
	ctx := context.Background()
	k := logkeeper.New(logkeeper.Options{})
	p := newPublisher(k, rand.Reader)
	v, err := p.Load(ctx)
	assert.NilError(t, err)
	_, err = p.Publish(ctx, v, preset("peak", 1), 0)
	assert.NilError(t, err)
	_, err = p.Switch(ctx, v, "peak", 0)
	assert.NilError(t, err)
	k.Forget(2)
	_, err = p.Load(ctx)
	var gap GapError
	assert.Assert(t, errors.As(err, &gap), "%v", err)
	assert.Equal(t, gap.Earliest, appender.Offset(2))
	_, err = p.Switch(ctx, v, "peak", 2)
	assert.NilError(t, err, "a view loaded before the gap remains usable")
}

// Neither the log's records nor the printed forms of a value that contains a key may reveal the key.
func TestKeyIsNotExposed(t *testing.T) {
	ctx := context.Background()
	k := logkeeper.New(logkeeper.Options{})
	p := newPublisher(k, rand.Reader)
	v, err := p.Load(ctx)
	assert.NilError(t, err)
	var unknown UnknownTeamError
	_, err = p.Issue(ctx, v, "agents", "")
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	_, err = p.Publish(ctx, v, preset("peak", 1), 0)
	assert.NilError(t, err)
	issued, err := p.Issue(ctx, v, "agents", "by phone")
	assert.NilError(t, err)
	key := issued.Secret.Reveal()
	assert.Equal(t, len(key), len("jt_")+43)
	team, ok := v.Resolve(issued.Key.Hash)
	assert.Assert(t, ok && team == "agents")

	b, err := k.Read(ctx, 0, 0, 0)
	assert.NilError(t, err)
	for _, r := range b.Records {
		assert.Assert(t, !strings.Contains(string(r.Data), key))
	}
	printed := fmt.Sprintf("%v %+v %#v %s %q", issued, issued, issued, issued.Secret, issued.Secret)
	assert.Assert(t, !strings.Contains(printed, key[3:]), printed)

	found, err := v.FindKey(string(issued.Key.Hash[:8]))
	assert.NilError(t, err)
	_, err = p.Withdraw(ctx, v, found)
	assert.NilError(t, err)
	_, ok = v.Resolve(issued.Key.Hash)
	assert.Assert(t, !ok)
	_, err = p.Withdraw(ctx, v, found)
	var conflict configurer.Conflict
	assert.Assert(t, errors.As(err, &conflict) && conflict.Reason == configurer.ReasonWithdrawn, "%v", err)
	var none UnknownKeyError
	_, err = v.FindKey("zz")
	assert.Assert(t, errors.As(err, &none), "%v", err)
}

// BenchmarkLoad reads a day of 12,000 changes over HTTP, as each operator command does before it acts.
func BenchmarkLoad(b *testing.B) {
	const changes = 12_000
	ctx := context.Background()
	k := logkeeper.New(logkeeper.Options{})
	p := newPublisher(k, rand.Reader)
	v, err := p.Load(ctx)
	assert.NilError(b, err)
	for i := range changes {
		_, err := p.Publish(ctx, v, preset("peak", i+1), v.Base(PresetSubject("peak")))
		assert.NilError(b, err)
	}
	s := httptest.NewServer(k.Handler())
	defer s.Close()
	c, err := appender.NewClient(s.URL, s.Client())
	assert.NilError(b, err)
	for b.Loop() {
		v, err := newPublisher(c, rand.Reader).Load(ctx)
		assert.NilError(b, err)
		assert.Equal(b, v.Version(), identifier.Version(changes))
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/changes, "µs/record")
}
