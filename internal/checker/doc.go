// Package checker reads a TOML file whole and collects every fault in it, named by field and value.
package checker
