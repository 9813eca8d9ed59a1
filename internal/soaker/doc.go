// Package soaker runs real node processes under random faults and checks what callers and backend servers recorded.
package soaker
