// The reducer is a state machine without locks or I/O, and the performer is its only caller. A lock serializes the events.
// An effect for a call goes to the mailbox of the goroutine that serves the call; all others go to the EffectHandler,
// which queues them, since a slow log or peer must not delay calls.
//
// Example: p.Apply(&reducer.CallArrived{Call: id, …}) puts reducer.Forward into the mailbox that
// p.Open() returned together with id.

package performer

import (
	"sync"
	"sync/atomic"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/reducer"
)

// mailboxSize is larger than the number of effects that can be pending for one call.
const mailboxSize = 8

// Mailbox receives the effects for one call or delivery.
type Mailbox <-chan reducer.CallEffect

// Machine is the part of the reducer that the performer drives.
type Machine interface {
	Reduce(event reducer.Event, now clock.Time, out []reducer.Effect) []reducer.Effect
}

// EffectHandler carries out the effects that concern other processes; its methods must not block.
type EffectHandler interface {
	Send(reducer.Send)
	Append(reducer.Append)
	ReadLog(reducer.ReadLog)
	Log(reducer.Log)
}

// Performer serializes events and dispatches the resulting effects.
type Performer struct {
	clock   *clock.Clock
	handler EffectHandler

	nextCall atomic.Uint64

	mu        sync.Mutex
	machine   Machine
	effects   []reducer.Effect
	mailboxes map[reducer.CallID]chan reducer.CallEffect
}

// New returns a performer that applies events to m and passes effects on other processes to h.
func New(c *clock.Clock, m Machine, h EffectHandler) *Performer {
	return &Performer{
		clock:     c,
		handler:   h,
		machine:   m,
		mailboxes: make(map[reducer.CallID]chan reducer.CallEffect),
	}
}

// Open creates the id and the mailbox of a new call or delivery; Close must be called when it is over.
func (p *Performer) Open() (reducer.CallID, Mailbox) {
	id := reducer.CallID(p.nextCall.Add(1))
	mailbox := make(chan reducer.CallEffect, mailboxSize)
	p.mu.Lock()
	p.mailboxes[id] = mailbox
	p.mu.Unlock()
	return id, mailbox
}

// Close removes the mailbox of a call.
func (p *Performer) Close(id reducer.CallID) {
	p.mu.Lock()
	delete(p.mailboxes, id)
	p.mu.Unlock()
}

// Apply passes one event to the reducer and dispatches the effects.
func (p *Performer) Apply(event reducer.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.effects = p.machine.Reduce(event, p.clock.Now(), p.effects[:0])
	for i, e := range p.effects {
		p.dispatchEffect(e)
		p.effects[i] = nil
	}
}

// View runs read under the lock, so that it sees a consistent state.
func (p *Performer) View(read func(now clock.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	read(p.clock.Now())
}

func (p *Performer) dispatchEffect(e reducer.Effect) {
	switch e := e.(type) {
	case reducer.CallEffect:
		p.postToMailbox(e)
	case reducer.Send:
		p.handler.Send(e)
	case reducer.Append:
		p.handler.Append(e)
	case reducer.ReadLog:
		p.handler.ReadLog(e)
	case reducer.Log:
		p.handler.Log(e)
	}
}

// An effect for a call that has been closed is dropped: the effect and the end of the call may occur at the same time. A
// full mailbox means that the reducer emitted duplicate effects; the effect is dropped, since waiting would block while
// holding the lock.
func (p *Performer) postToMailbox(e reducer.CallEffect) {
	mailbox, ok := p.mailboxes[e.Recipient()]
	if !ok {
		return
	}
	select {
	case mailbox <- e:
	default:
		p.handler.Log(reducer.Log{Message: "mailbox full", Fields: []any{"call", uint64(e.Recipient())}})
	}
}
