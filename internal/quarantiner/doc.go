// Package quarantiner counts the backend servers that ended while they ran a request, and says which requests are no longer sent.
package quarantiner
