// Package clock is the product's one time type: milliseconds as whole numbers, monotonic or wall.
package clock
