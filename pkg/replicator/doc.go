// Package replicator holds the configuration in one compare-and-set register
// over the replicas, by single-value Paxos without a leader: any replica may
// propose at any time, and a restart reads one file.
//
// An epoch is the time during which one set of replicas votes. The last value
// of an epoch names the next set; whoever reads it must first have a majority
// of the old set accept it, then install it at a majority of the new set.
// docs/DESIGN.md weighs this against a replicated log.
package replicator
