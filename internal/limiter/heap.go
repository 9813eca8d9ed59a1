// A queued call is looked up by several orders: the next to dispatch, to shed, or to expire. Each order is a heap over
// the same entries, and an entry that is removed from one has to be removed from the others, at any position. So the
// heap tracks positions, and it keeps its memory so that a decision allocates nothing.
//
// Example: push(3, 10), push(7, 5): first() is 7; remove(7): first() is 3.

package limiter

import "cmp"

const absent = -1

// heap is a binary min-heap of entry numbers by key.
type heap[K cmp.Ordered] struct {
	order    []int32
	keys     []K
	position []int32
}

// grow makes room for entries 0 to n-1.
func (h *heap[K]) grow(n int) {
	for len(h.keys) < n {
		var zero K
		h.keys = append(h.keys, zero)
		h.position = append(h.position, absent)
	}
}

func (h *heap[K]) len() int {
	return len(h.order)
}

// first returns the entry with the smallest key; the heap must not be empty.
func (h *heap[K]) first() int32 {
	return h.order[0]
}

func (h *heap[K]) push(entry int32, key K) {
	h.keys[entry] = key
	h.position[entry] = int32(len(h.order))
	h.order = append(h.order, entry)
	h.up(len(h.order) - 1)
}

func (h *heap[K]) remove(entry int32) {
	i := int(h.position[entry])
	last := len(h.order) - 1
	h.swap(i, last)
	h.order = h.order[:last]
	h.position[entry] = absent
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h *heap[K]) swap(i, j int) {
	h.order[i], h.order[j] = h.order[j], h.order[i]
	h.position[h.order[i]] = int32(i)
	h.position[h.order[j]] = int32(j)
}

func (h *heap[K]) less(i, j int) bool {
	return h.keys[h.order[i]] < h.keys[h.order[j]]
}

func (h *heap[K]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *heap[K]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.order) {
			return
		}
		if child+1 < len(h.order) && h.less(child+1, child) {
			child++
		}
		if !h.less(child, i) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
