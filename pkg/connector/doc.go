// Package connector sends requests to the own target over few, reused
// connections. Unlike the transport of net/http it never sends a request twice
// by itself, tells whether a byte of a request has gone out, and lets its user
// judge whose answer arrives, so that an answer that comes late or twice is
// given to nobody.
package connector
