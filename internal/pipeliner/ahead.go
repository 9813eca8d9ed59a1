package pipeliner

// Requests that a caller sends ahead are started while the one before them is answered, but none behind one whose answer may break
// off after its beginning: the connection then ends, and with it the answers to what was started.
//
// Example: a and b are started; a's answer turns out to be long: it is read to its end first, and c is not started.

import "slices"

// startAhead starts requests that were sent ahead, up to Options.MaxAhead; the caller holds the lock.
func (c *connection) startAhead() {
	c.skipEmptyLines()
	for c.serving && !c.closing && !c.waitsForTurn && !c.holdAhead && !c.queue.holdsAhead() && c.phase == answeringPhase && c.queue.len() < c.pipeliner.options.MaxAhead {
		ahead := c.readAhead[c.queue.coveredBytes:]
		var b boundary
		n, complete := b.end(ahead)
		if !complete {
			return
		}
		r := c.tryStart(ahead[:n])
		if r == nil {
			c.waitsForTurn = true
			return
		}
		c.queue.add(r)
	}
}

// tryStart starts the request with a head ahead of its turn, and returns nil if it may not or there is no memory for it; the caller
// holds the lock.
func (c *connection) tryStart(head []byte) *run {
	size := cost(head)
	c.queue.heldBytes += size
	if c.reserve() == nil {
		request, ok := parseHead(head)
		if ok && c.pipeliner.options.MayStartAhead(request) {
			c.closing = request.Close
			return c.startRun(request, len(head), size)
		}
	}
	c.queue.heldBytes -= size
	return nil
}

// holdFollowers lets no further request be started behind one, and returns whether one has been.
func (c *connection) holdFollowers(current *run) (followed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.Index(c.queue.runs, current)
	if i >= 0 {
		current.holdsAhead = true
	} else {
		c.holdAhead = true
	}
	return c.queue.len() > i+1
}
