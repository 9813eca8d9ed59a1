// Package watcher follows a keyed topic of the platform's store and says how fresh what it knows is.
package watcher
