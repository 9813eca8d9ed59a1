// Package loader reads a node's settings from TOML and reports all faults in them at once.
package loader
