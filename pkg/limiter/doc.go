// Package limiter keeps every team within its rate and burst over the whole
// fleet, in every fault, by conserved shares.
//
// The limit of a team is divided over the data centres so that the parts add
// up exactly. In a data centre one instance holds the bucket of a team under
// a lease from a majority of the witnesses; it hands out small batches of
// tokens that expire, and other nodes spend them without asking again. The
// cap is on the bucket plus all batches that may still be spent. A data
// centre with tokens to spare hands batches to nodes of others in the same
// way. Where no data centres are declared the fleet holds limits whole: the
// other witnesses are deputies, which hand out an even part of each rate while
// the holder is out of reach, and the holder counts on them. docs/DESIGN.md gives the argument and the ways weighed.
package limiter
