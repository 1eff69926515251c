// Package commander is the operators' tool. Each verb has a file with its
// usage, its options and what it does, in this order; verbs.go lists them.
package commander
