// Package deploy holds the example settings and presets, embedded so that the demo and the measurements use them too.
package deploy
