// Package faulter makes faults happen in a real fleet under load, and judges what callers got.
package faulter
