// Package healer decides when to replace a replica of the register, or to enlarge
// its set, without an operator. It does no I/O and has no clock.
//
// A replacement is safe at any time, since a majority of the old set must accept
// it, and a replaced replica that comes back has no vote. The decision only
// affects how long the set runs with one disk less.
package healer
