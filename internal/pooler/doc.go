// Package pooler keeps the rates of teams that send little to each of many nodes, each in one bucket at one node.
package pooler
