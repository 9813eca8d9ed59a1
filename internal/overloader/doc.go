// Package overloader measures what callers get under overload with this product and with simple baselines.
package overloader
