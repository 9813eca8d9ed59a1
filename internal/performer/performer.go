// The reducer is a state machine without locks or I/O, and the performer is its only caller. Events are queued, and one
// goroutine at a time applies them, so that no other waits for it.
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

// maxQueued is the number of queued events from which Apply waits until they are applied.
const maxQueued = 4096

// maxDrained bounds the events that one goroutine applies in a row.
const maxDrained = 256

// Performer serializes events and dispatches the resulting effects.
type Performer struct {
	clock   *clock.Clock
	handler EffectHandler

	nextCall atomic.Uint64

	// queue holds the events that are not yet applied, in order; draining is set while a goroutine applies them.
	queueMu  sync.Mutex
	queue    []reducer.Event
	draining bool

	mu      sync.Mutex
	machine Machine
	effects []reducer.Effect
	// spare is the emptied buffer of the previous batch.
	spare     []reducer.Event
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

// Apply passes one event to the reducer and dispatches the effects. While another goroutine applies events, it leaves the
// event to that one and returns at once, unless the queue is full: a goroutine that is preempted while it applies an event
// would otherwise hold up all connections that have an event too, and with them the messages of other nodes behind it.
func (p *Performer) Apply(event reducer.Event) {
	p.queueMu.Lock()
	p.queue = append(p.queue, event)
	draining := p.draining
	p.draining = true
	full := len(p.queue) > maxQueued
	p.queueMu.Unlock()
	switch {
	case !draining:
		p.drain()
	case full:
		p.applyQueued()
	}
}

// drain applies queued events until there are none. After maxDrained events another goroutine goes on, so that no caller
// of Apply works for the others for long.
func (p *Performer) drain() {
	for n := 0; n < maxDrained; {
		applied := p.applyQueued()
		n += applied
		if applied == 0 && p.endDrain() {
			return
		}
	}
	go p.drain()
}

// endDrain ends the draining unless events have arrived meanwhile.
func (p *Performer) endDrain() bool {
	p.queueMu.Lock()
	defer p.queueMu.Unlock()
	p.draining = len(p.queue) > 0
	return !p.draining
}

// applyQueued applies the events queued at this moment and returns their number.
func (p *Performer) applyQueued() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.applyQueuedLocked()
}

func (p *Performer) applyQueuedLocked() int {
	p.queueMu.Lock()
	batch := p.queue
	p.queue = p.spare[:0]
	p.queueMu.Unlock()
	for i, event := range batch {
		batch[i] = nil
		p.effects = p.machine.Reduce(event, p.clock.Now(), p.effects[:0])
		for k, e := range p.effects {
			p.dispatchEffect(e)
			p.effects[k] = nil
		}
	}
	p.spare = batch[:0]
	return len(batch)
}

// View runs read under the lock after all events that were applied before it, so that it sees a consistent state.
func (p *Performer) View(read func(now clock.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyQueuedLocked()
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
