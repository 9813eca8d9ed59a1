// Package admitter implements admission control: it accepts or refuses calls by their rank and the measured queueing
// delay, by the same rules at every hop.
package admitter
