// Package deduplicator lets a non-idempotent request run at most once, whichever nodes its caller retries at.
package deduplicator
