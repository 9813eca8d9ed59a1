// Package presetter maps presets between TOML and the domain types, and reports all faults of a preset at once.
package presetter
