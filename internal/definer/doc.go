// Package definer has the types that operators publish: presets with their services, routes and teams, and team keys.
package definer
