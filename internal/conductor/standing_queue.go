package conductor

// The queue in front of a full endpoint is never empty for long, and how long it is at one moment says little: random arrivals
// and reports of half a second ago let it rise and fall. Its smallest length within a short time is what does not go away.
//
// Example: lengths of 80, 12, 95 and 60 in the last 100 ms: 12 calls are a standing queue.

import "slices"

// queueFloorTicks is the number of ticks over which the smallest length of the queue is taken: 200 ms, about the interval
// between reports while a service is overloaded.
const queueFloorTicks = 8

// queueFloor holds the lengths of the queue at the last ticks.
type queueFloor struct {
	lengths [queueFloorTicks]int
	next    int
}

func (q *queueFloor) observe(length int) {
	q.lengths[q.next] = length
	q.next = (q.next + 1) % queueFloorTicks
}

// standing returns the smallest length.
func (q *queueFloor) standing() int {
	return slices.Min(q.lengths[:])
}
