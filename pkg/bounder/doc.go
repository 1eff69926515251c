// Package bounder bounds what callers can make a process hold before it has answered them:
// connections, the lines of a head, and the memory of all heads and short bodies together.
package bounder
