// The transport listens before the rest of the node is assembled. Calls and messages that arrive before that are dropped,
// and the sender treats the node as not yet started.

package assembler

import (
	"context"
	"io"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/deliverer"
	"github.com/jackdawtide/jackdawtide/internal/encoder"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/performer"
	"github.com/jackdawtide/jackdawtide/internal/reducer"
	"github.com/jackdawtide/jackdawtide/internal/transporter"
)

type inbox struct {
	clock  *clock.Clock
	logger *log.Logger
	target atomic.Pointer[inboxTarget]
}

type inboxTarget struct {
	deliverer *deliverer.Deliverer
	performer *performer.Performer
}

func newInbox(c *clock.Clock, l *log.Logger) *inbox {
	return &inbox{clock: c, logger: l}
}

func connectInbox(in *inbox, d *deliverer.Deliverer, p *performer.Performer) {
	in.target.Store(&inboxTarget{deliverer: d, performer: p})
}

// ServeCall passes a call to the deliverer.
func (in *inbox) ServeCall(ctx context.Context, from identifier.Node, head transporter.CallHead, body io.Reader, w transporter.AnswerWriter) {
	if t := in.target.Load(); t != nil {
		t.deliverer.ServeCall(ctx, from, head, body, w)
	}
}

// ServeControl passes a control message to the reducer.
func (in *inbox) ServeControl(from identifier.Node, message []byte) {
	t := in.target.Load()
	if t == nil {
		return
	}
	m, err := encoder.Decode(message)
	if err != nil {
		in.logger.Warn("message cannot be decoded", "from", from, "error", err)
		return
	}
	t.performer.Apply(&reducer.MessageReceived{From: from, Message: m, Wall: in.clock.Wall()})
}
