// Package pooler limits the rates of teams that send few requests to each of many nodes, with one token bucket at one
// node for each team.
package pooler
