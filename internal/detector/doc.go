// Package detector finds unreachable nodes within a second by the attempts that get no answer.
package detector
