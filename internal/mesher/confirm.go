package mesher

// A node's last proof that its configuration is the newest may be older than a configuration may take to be in force, because a
// processor was busy or messages were late. A request that arrives then waits for the next proof, which is asked for at once,
// rather than being decided by what may be out of date. It does not wait while the store is known not to answer: then nothing can
// be confirmed, and the node serves on what it has.
//
// Example: proved 2.1 s ago, the processor was busy: the request waits 6 ms for the store's answer, which has the added route.

import (
	"context"
	"sync"

	"github.com/jackdawtide/jackdawtide/internal/clock"
	"github.com/jackdawtide/jackdawtide/internal/conductor"
)

// confirmTimeout bounds the wait: a read that takes longer ends, and the store then counts as lost (maxFirstStoreLateness).
const confirmTimeout = 300 * clock.Millisecond

// confirmation tells waiting requests when there is news of the configuration in force.
type confirmation struct {
	mu      sync.Mutex
	changed chan struct{}
	// storeLost is set while the operators' topic can't be read.
	storeLost bool
}

// next returns a channel that is closed at the next news, and whether the store is lost.
func (c *confirmation) next() (changed <-chan struct{}, storeLost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed, c.storeLost
}

func (c *confirmation) notify() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

func (c *confirmation) setStoreLost(lost bool) {
	c.mu.Lock()
	c.storeLost = lost
	c.mu.Unlock()
	c.notify()
}

// confirmConfiguration waits until the configuration in force is proved to be the newest, or nothing can be confirmed.
func (n *node) confirmConfiguration(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, confirmTimeout.Std())
	defer cancel()
	for waited := false; ; waited = true {
		changed, storeLost := n.confirmation.next()
		overdue := false
		n.relayer.View(func(c *conductor.Conductor, _ clock.Time) { overdue = c.ConfigurationOverdue(clock.Boot{}.Now()) })
		if !overdue || storeLost {
			return
		}
		if !waited {
			n.recorder.AwaitedConfirmation()
		}
		n.configurations.Interrupt(0)
		select {
		case <-changed:
		case <-limited.Done():
			return
		}
	}
}
