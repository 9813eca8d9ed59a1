// Package presetter maps presets between their TOML form and the domain types, and checks them whole.
package presetter
