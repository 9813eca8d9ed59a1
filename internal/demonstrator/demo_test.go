package demonstrator

import (
	"bytes"
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A newcomer's first contact with the project is the demo, so it must end within 30 seconds and every promise must
// hold.
func TestDemoHolds(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute")
	}
	const bound = 30 * time.Second
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 2*bound)
	defer cancel()
	r, err := Run(ctx, "kitakaze")
	assert.NilError(t, err)
	var text bytes.Buffer
	assert.NilError(t, r.WriteText(&text))
	t.Log(text.String())
	assert.NilError(t, r.Err())
	assert.Assert(t, time.Since(began) < bound)
}
