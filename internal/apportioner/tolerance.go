package apportioner

// Nodes can't know at every moment what the others let through, so operators tolerate some more than a team bought.
//
// Example: in 5 s a team with 100 requests a second and a burst of 100 may have 600; a tenth and 20 more are tolerated: 80.

// Tolerance is by how much operators let a team's requests exceed its rate and burst, for what nodes can't know of
// each other: in any Window, in seconds, by a part of what is allowed and some requests.
type Tolerance struct {
	Window   float64
	Part     float64
	Requests float64
}

// Excess returns how many requests over its rate and burst a team may have in a window.
func (t Tolerance) Excess(rate, burst float64) float64 {
	return t.Part*(rate*t.Window+burst) + t.Requests
}
