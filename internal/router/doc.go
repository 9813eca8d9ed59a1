// Package router picks the endpoint for a call by failure domain, measured headroom and failures.
package router
