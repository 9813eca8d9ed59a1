// Three retries at each of four hops turn one slow call into 256. So the retry budget is granted once, where the
// request enters, and is handed over with each call: a node no longer has what it passes on, and what an answer does
// not return is lost. No counter is shared, and a lost answer loses retries instead of duplicating them.
//
// Example: granted 3; a nested call takes 2, its node spends 1 and returns 1; the parent has 2 left.

package retrier

import "math"

// Budget is the part of a root request's retry allowance that one node holds for one call.
type Budget struct {
	left uint8
}

// NewBudget returns the budget of a call that carried the given allowance.
func NewBudget(allowance uint8) Budget {
	return Budget{left: allowance}
}

// Left returns how many retries the budget still allows.
func (b *Budget) Left() uint8 {
	return b.left
}

// Take removes up to share for a nested call and returns what that call may carry.
func (b *Budget) Take(share uint8) uint8 {
	taken := min(share, b.left)
	b.left -= taken
	return taken
}

// Portion takes and returns half of the budget, rounded up, for one nested call while others may follow or run in
// parallel.
func (b *Budget) Portion() uint8 {
	return b.Take(b.left - b.left/2)
}

// Return adds what a nested call did not use; carried is what Take gave to it.
func (b *Budget) Return(unused, carried uint8) {
	back := min(unused, carried)
	b.left = uint8(min(int(b.left)+int(back), math.MaxUint8))
}

// Spend uses one retry and returns whether there was one.
func (b *Budget) Spend() bool {
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}
