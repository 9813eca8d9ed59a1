// Package main is the fault soak; its verbs are flags.
package main
