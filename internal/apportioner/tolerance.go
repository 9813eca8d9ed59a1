package apportioner

// Nodes do not know at every moment what the other nodes admit, so operators tolerate somewhat more than a team's rate
// and burst.
//
// Example: in 5 s a team with 100 requests a second and a burst of 100 may have 600; a tenth and 20 more are tolerated:
// 80.

// Tolerance is the tolerated excess of a team's requests over its rate and burst, because nodes learn of each other's
// admissions late: in any Window, in seconds, a fraction Part of what is allowed, plus a number of Requests.
type Tolerance struct {
	Window   float64
	Part     float64
	Requests float64
}

// Excess returns how many requests over its rate and burst a team may have in a window.
func (t Tolerance) Excess(rate, burst float64) float64 {
	return t.Part*(rate*t.Window+burst) + t.Requests
}
