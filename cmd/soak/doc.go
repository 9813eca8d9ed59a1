// Package main is the fault soak test; it has flags and no verbs.
package main
