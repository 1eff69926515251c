// Package trialer is the load and experiment tool: open-loop arrivals of many
// teams against nodes that run, stand-in targets that it starts itself, and a
// report of goodput, refusals, waiting times and the worst-served team. It
// drives the real daemon; it is no simulator of a cluster.
package trialer
