// Package replicator stores the configuration in one compare-and-set register
// that is replicated by leaderless single-value Paxos: any node may propose at
// any time, and a restarting replica reads one file.
//
// An epoch is the period in which one set of replicas votes. The last value of
// an epoch names the next set. A proposer that reads such a value must first
// have a majority of the old set accept it and then install it on a majority of
// the new set. docs/DESIGN.md compares this design with a replicated log.
package replicator
