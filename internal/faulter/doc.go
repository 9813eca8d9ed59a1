// Package faulter injects faults into a real fleet under load and checks what callers and backend servers recorded.
package faulter
