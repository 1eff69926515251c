// Package bounder bounds what callers can make a process hold: connections, the lines of a
// head, the memory of all heads and short bodies together and of answers that they do not
// read, and the time that they may take over a body or an answer while others need their place.
package bounder
