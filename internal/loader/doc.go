// Package loader reads a node's settings from TOML and checks them whole.
package loader
