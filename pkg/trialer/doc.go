// Package trialer runs load experiments. It starts real nodes and stand-in
// targets in its own process, sends them open-loop load for several teams, and
// reports goodput, rejections, latencies and the worst-served team. It runs
// the daemon's own code and does not simulate a cluster.
package trialer
