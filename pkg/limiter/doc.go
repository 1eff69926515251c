// Package limiter keeps every team within its rate and burst over the whole
// fleet, also during faults of nodes and of the network.
//
// The limit of a team is divided among the data centres so that the shares add up
// to exactly the limit. In each data centre one instance, the holder, has the
// token bucket of a team under a lease from a majority of the witnesses, the
// instances that vote for the holders. A lease covers one shard, a fixed part of
// the teams. The holder grants small batches of tokens that expire, and the nodes
// spend them from their token caches without asking again. The burst limits the
// tokens in the bucket plus all granted tokens that may still be spent. A data
// centre with tokens to spare also lends batches to nodes in other data centres.
//
// Where no data centres are declared, limits are fleet-wide: one holder has the
// bucket of a team for the whole fleet. The other witnesses are its deputies. A
// deputy grants an equal share of each rate while it can't reach the holder, and
// the holder withholds the tokens that its deputies may be granting. Names and
// messages of this mechanism contain the word standby.
//
// docs/DESIGN.md gives the safety argument and the alternatives.
package limiter
