// Package watcher follows a keyed topic of the platform's store and reports as of which time its records are complete.
package watcher
