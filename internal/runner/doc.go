// Package runner implements the programs behind the verbs `node` and `backend`, from start to planned stop, the demo,
// and the measurements of the verb `measure`.
package runner
