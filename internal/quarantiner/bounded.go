package quarantiner

// bounded is a map that drops its oldest entry when it is full, and perhaps sooner one that was dropped and put again.
//
// Example: with room for two, put a, b and c: a is gone.
type bounded[K comparable, V any] struct {
	values map[K]V
	// order holds the keys in the order of their first put, dropped ones included; next is the index of the oldest.
	order []K
	next  int
}

func newBounded[K comparable, V any](capacity int) *bounded[K, V] {
	return &bounded[K, V]{values: map[K]V{}, order: make([]K, 0, capacity)}
}

func (b *bounded[K, V]) get(key K) (V, bool) {
	v, ok := b.values[key]
	return v, ok
}

func (b *bounded[K, V]) put(key K, v V) {
	if _, ok := b.values[key]; ok {
		b.values[key] = v
		return
	}
	b.values[key] = v
	if len(b.order) < cap(b.order) {
		b.order = append(b.order, key)
		return
	}
	if b.order[b.next] != key {
		delete(b.values, b.order[b.next])
	}
	b.order[b.next] = key
	b.next = (b.next + 1) % len(b.order)
}

func (b *bounded[K, V]) drop(key K) {
	delete(b.values, key)
}

func (b *bounded[K, V]) len() int {
	return len(b.values)
}
