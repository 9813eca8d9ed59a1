// Package router picks the backend server for a call by failure domain, measured headroom and failures.
package router
