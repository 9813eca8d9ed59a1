// Package apportioner divides each team's rate among the nodes by where its requests arrive.
package apportioner
