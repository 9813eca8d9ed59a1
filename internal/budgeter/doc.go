// Package budgeter bounds the retries of a service over the whole fleet by budgets that each node keeps for itself, for
// services that decline part of their calls.
package budgeter
