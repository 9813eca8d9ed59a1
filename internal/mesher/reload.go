package mesher

// Bounds can change while a node runs. Its identity and its addresses can't; if the settings change these, the log says that
// a restart is needed.
//
// Example: revoke goes from 5s to 3s: from then on keys are accepted only on proofs that are at most 3 s old.

import (
	"context"

	"github.com/jackdawtide/jackdawtide/internal/conductor"
	"github.com/jackdawtide/jackdawtide/internal/loader"
)

func (n *node) reload(ctx context.Context) {
	if n.options.WatchSettings == nil {
		return
	}
	n.options.WatchSettings(ctx, n.applySettings, func(err error) {
		n.recorder.Event("settings refused", "error", err.Error())
	})
}

func (n *node) applySettings(s loader.Sidecar) {
	old := n.options.Settings
	restart := s.Listen != old.Listen || s.Endpoint != old.Endpoint || s.Store != old.Store ||
		s.Name != old.Name || s.Service != old.Service || s.Domain != old.Domain
	n.grace.Store(int64(s.Bounds.Grace))
	n.relayer.ApplyEvent(conductor.BoundsChanged{Bounds: boundsOf(s.Bounds)})
	n.recorder.Event("settings reloaded", "revokeMs", int64(s.Bounds.Revoke), "needsRestart", restart)
}
