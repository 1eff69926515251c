// Package pacer holds what a target states about itself in its answers, and decides
// by it how fast requests may begin at the target. An overloaded target may name a
// limit, the requests a second that it takes from all nodes together; a target that
// leaves says so. Cold bounds the requests to a target that reports that it is cold, and
// Ramp finds how many may run at one that has started or recovered. The package reads
// no clock and opens no socket: callers pass the time.
package pacer
