// Package runner runs the long-lived programs behind the verbs `node` and `backend`, from their start to their planned stop.
package runner
