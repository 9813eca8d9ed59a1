package pipeliner

// Requests that a caller sends ahead are started while the one before them is answered, but none behind one whose answer may break
// off after its beginning: the connection then ends, and with it the answers to what was started.
//
// Example: a and b are started; a's answer turns out to be long: it is read to its end first, and c is not started.

import "slices"

// startAhead starts requests that were sent ahead, up to Options.MaxAhead; the caller holds the lock.
func (c *connection) startAhead() {
	for c.serving && !c.closing && !c.holdAhead && !c.queue.holdsAhead() && c.phase == answeringPhase && c.queue.len() < c.pipeliner.options.MaxAhead {
		ahead := c.readAhead[c.queue.coveredBytes:]
		var b boundary
		n, complete := b.end(ahead)
		if !complete {
			return
		}
		request, ok := parseHead(ahead[:n])
		if !ok || !c.pipeliner.options.MayStartAhead(request) {
			return
		}
		c.closing = request.Close
		c.queue.add(c.startRun(request, n))
	}
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
