// Package deduplicator ensures that a request with an idempotency id runs at most once, at whichever nodes its caller
// retries. The owner of an id, the holder of the claim to which the id belongs, decides on each attempt; the entry,
// the node that received the call, asks the owner before it sends anything.
package deduplicator
