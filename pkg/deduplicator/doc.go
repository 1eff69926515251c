// Package deduplicator makes a request with an idempotency key run at most
// once in the whole fleet. Before the request goes out, an attempt claims the
// key at a majority of the replicas; each replica grants a key to the first
// attempt that asks and syncs that before it answers. A later sender gets the
// first answer, "running", or "unknown", never a second run.
//
// A claim is given up only by the attempt that made it, and only when no byte
// has gone to a target. A replica that joins the set copies the records of a
// majority of the former set before it has a vote.
package deduplicator
