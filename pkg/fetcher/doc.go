// Package fetcher brings a node to the newest version of the configuration that
// it has heard of. Nodes tell only that they have a version; the value is
// fetched from one of them. One that does not answer delays the fetch by
// hedgeDelay, not by its time-out, and a version that was heard of is asked for
// until it is in force or no node says that it has it.
package fetcher
