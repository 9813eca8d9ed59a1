// Package detector finds out within a second which nodes can't be reached, by the attempts that get no word back.
package detector
