package performer

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/identifier"
	"github.com/jackdawtide/jackdawtide/internal/reducer"
)

// blockingMachine records the nodes of the messages that it gets, and stands still at the first.
type blockingMachine struct {
	entered, resume chan struct{}
	order           []identifier.Node
}

func (m *blockingMachine) Reduce(event reducer.Event, _ clock.Time, out []reducer.Effect) []reducer.Effect {
	m.order = append(m.order, event.(*reducer.MessageReceived).From)
	if len(m.order) == 1 {
		close(m.entered)
		<-m.resume
	}
	return out
}

func message(i int) *reducer.MessageReceived {
	return &reducer.MessageReceived{From: identifier.Node(fmt.Sprint(i))}
}

func newBlocked() (*Performer, *blockingMachine, *sync.WaitGroup) {
	m := &blockingMachine{entered: make(chan struct{}), resume: make(chan struct{})}
	p := New(clock.New(), m, nil)
	var first sync.WaitGroup
	first.Go(func() { p.Apply(message(0)) })
	<-m.entered
	return p, m, &first
}

// Guards against connections whose messages all wait behind one event that the scheduler has interrupted.
func TestEventsDoNotWaitForTheOneBeingApplied(t *testing.T) {
	const events = 1000
	p, m, first := newBlocked()
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		for i := 1; i < events; i++ {
			p.Apply(message(i))
		}
	}()
	select {
	case <-applied:
	case <-time.After(10 * time.Second):
		t.Error("Apply waits for the event that another goroutine applies")
	}
	close(m.resume)
	first.Wait()
	<-applied
	p.View(func(clock.Time) {
		assert.Equal(t, len(m.order), events)
		for i, n := range m.order {
			assert.Equal(t, n, message(i).From, "events of one goroutine keep their order")
		}
	})
}

// Guards against answers to operators that miss events which were applied before.
func TestViewSeesEventsQueuedBeforeIt(t *testing.T) {
	p, m, first := newBlocked()
	go p.Apply(message(1))
	seen := make(chan int)
	time.AfterFunc(50*time.Millisecond, func() { close(m.resume) })
	for range 2 {
		go p.View(func(clock.Time) { seen <- len(m.order) })
	}
	assert.Assert(t, <-seen >= 1)
	assert.Assert(t, <-seen >= 1)
	first.Wait()
	p.Apply(message(2))
	p.View(func(clock.Time) { assert.Equal(t, len(m.order), 3) })
}

// Guards against nodes that stand still while their queue of events grows until the VM's memory is used up.
func TestApplyWaitsWhileTheQueueIsFull(t *testing.T) {
	p, m, first := newBlocked()
	for i := range maxQueued {
		p.Apply(message(i + 1))
	}
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		p.Apply(message(maxQueued + 1))
	}()
	select {
	case <-applied:
		t.Error("Apply queued an event more than the queue holds")
	case <-time.After(100 * time.Millisecond):
	}
	close(m.resume)
	first.Wait()
	<-applied
	p.View(func(clock.Time) { assert.Equal(t, len(m.order), maxQueued+2) })
}
