// Package demonstrator runs a small fleet through a bad day and checks, from its callers' and backend servers' own accounts, what they were promised.
package demonstrator
