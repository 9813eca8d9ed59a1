// A class orders root requests by importance: the rank of the team first, the rank of the route second. Under overload
// whole classes are refused, the least important first.
//
// Example: team rank 1 and route rank 2 are class 6.

package identifier

// Class is the shedding class of a root request; 0 is the most important.
type Class uint8

const (
	// RankLevels is the number of distinct ranks of teams and of routes.
	RankLevels = 4
	// Classes is the number of classes.
	Classes = RankLevels * RankLevels
)
