// Package definer holds what operators publish: presets with their services, routes and teams, and team keys.
package definer
