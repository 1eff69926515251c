// Package shedder decides at the entry node which root requests to hold back while a
// service further down the call chain is overloaded, before any work is spent on them.
// It learns what a request of each route costs at overloaded services, and which share
// of the requests that began succeeds, from their answers. It does no I/O.
package shedder
