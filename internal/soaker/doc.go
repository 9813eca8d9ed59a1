// Package soaker runs real node processes under random faults and judges them by what callers and backend servers saw.
package soaker
