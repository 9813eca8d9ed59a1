// Package checker reads a TOML file completely and collects all faults in it, each with its field and value.
package checker
