// Package deduplicator makes a request with an idempotency key run at most
// once in the whole fleet. Before the entry node forwards the request, an
// attempt claims the key at a majority of the replicas. Each replica grants a
// key to the first attempt that asks, and syncs the claim before it replies. A
// later request with the same key gets the first answer, or learns that the
// first request is running or that its result is unknown; it never runs again.
//
// Only the attempt that made a claim releases it, and only when no byte of the
// request has gone to a target. A replica that joins the replica set copies
// the records of a majority of the former set before it votes on claims.
package deduplicator
