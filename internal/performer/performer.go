// The reducer is a plain state machine; this is the one place where it is called. A lock keeps the events in
// one order. Effects for a call go to the mailbox of the goroutine that serves it; the others are put on a
// queue outside the lock, since a slow log or peer must not hold up calls.
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

// mailboxSize is more than the effects that can be under way for one call at a time.
const mailboxSize = 8

// Mailbox receives the effects meant for one call or delivery.
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

// Performer serialises events and spreads effects.
type Performer struct {
	clock   *clock.Clock
	handler EffectHandler

	nextCall atomic.Uint64

	mu        sync.Mutex
	machine   Machine
	effects   []reducer.Effect
	mailboxes map[reducer.CallID]chan reducer.CallEffect
}

// New returns a performer of machine's effects.
func New(c *clock.Clock, m Machine, o EffectHandler) *Performer {
	return &Performer{
		clock:     c,
		handler:   o,
		machine:   m,
		mailboxes: make(map[reducer.CallID]chan reducer.CallEffect),
	}
}

// Open makes a new call handle and its mailbox; Close must be called when the call is over.
func (p *Performer) Open() (reducer.CallID, Mailbox) {
	id := reducer.CallID(p.nextCall.Add(1))
	mailbox := make(chan reducer.CallEffect, mailboxSize)
	p.mu.Lock()
	p.mailboxes[id] = mailbox
	p.mu.Unlock()
	return id, mailbox
}

// Close forgets the mailbox of a call.
func (p *Performer) Close(id reducer.CallID) {
	p.mu.Lock()
	delete(p.mailboxes, id)
	p.mu.Unlock()
}

// Apply hands one event to the reducer and spreads its effects.
func (p *Performer) Apply(event reducer.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.effects = p.machine.Reduce(event, p.clock.Now(), p.effects[:0])
	for i, e := range p.effects {
		p.dispatchEffect(e)
		p.effects[i] = nil
	}
}

// View runs read under the lock, so that a dump is one consistent moment.
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

// A call whose goroutine has gone gets no mail; that is no fault, since an effect and the end of its call may
// cross. A full mailbox would mean that the reducer repeats itself; dropping is better than a lock held forever.
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
