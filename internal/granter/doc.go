// Package granter keeps each team within its rate and burst, summed over all nodes, by passing on rights to call.
package granter
