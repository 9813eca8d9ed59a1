package throttler

// How much of a class must be refused depends on how much load the less important classes bring: an excess of a third
// may be all of one class, or half of another.
//
// Example: loads 60, 30 and 10 of classes 0, 1 and 2, and an excess of a quarter: all of class 2, half of class 1.

// Classes is how many classes of importance are told apart; class 0 is the most important.
const Classes = 16

// Mix is the load that each class brings to one service.
type Mix [Classes]float64

// Refused returns the part of a class that must be refused to take an excess off.
func (m *Mix) Refused(class int, excess float64) float64 {
	if m[class] <= 0 || excess <= 0 {
		return 0
	}
	total, less := 0.0, 0.0
	for c, load := range m {
		total += load
		if c > class {
			less += load
		}
	}
	return min(1, max(0, (excess*total-less)/m[class]))
}
