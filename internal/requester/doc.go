// Package requester sends single HTTP/1.1 requests over pooled connections and never reuses a doubtful one.
package requester
