// The verbs whose work lies in other packages than the commander's are put together here.

package main

import "github.com/jackdawtide/jackdawtide/internal/commander"

func hooks() commander.Hooks {
	return commander.Hooks{}
}
