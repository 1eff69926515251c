// Package test holds the tests that start the built programs as processes:
// the whole path, and faults that only a process can have.
package test
