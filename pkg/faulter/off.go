//go:build !faults

package faulter

// Reach marks a point.
func Reach(Point) {}
