// Package overloader measures what callers get under overload, by this product's policy and by simple baselines.
package overloader
