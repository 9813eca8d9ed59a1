// Package granter enforces each team's rate and burst across all nodes by distributing tokens as short leases. A
// purse holds a team's slices at one node and pays for calls from them. A bank, kept by the lease holder of a slot (a
// hash partition of the teams) in a failure domain, owns the domain's share of the rate and burst and grants the
// slices. A slice is a number of tokens with an expiry; a loan is rate and burst that one domain's bank lends to
// another's.
package granter
