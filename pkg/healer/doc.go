// Package healer decides when a replica of the register is to be replaced
// without an operator. It has no sockets and no clock of its own.
//
// Replacing is safe at any moment, since a majority of the old set must accept
// it; a replica that comes back later has no vote. What the decision weighs is
// how long the set goes on with one disk less.
package healer
