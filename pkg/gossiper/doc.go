// Package gossiper maintains a membership table of all instances on every node.
// Changes spread as updates in small datagrams. Within a data centre each member
// forwards them to a few neighbours that don't have them yet; a few members of
// each data centre, the bridges, forward them to each other data centre.
//
// Each node probes one member at a time, at a constant rate, to detect dead ones.
// Probes carry hashes of the table and of the withdrawn keys and quarantine
// decisions. When hashes differ, the two nodes sync: they compare the table by
// buckets of entries and exchange the buckets, keys and decisions that differ.
// Every node also syncs with a random member at a long interval, which repairs
// whatever the updates missed.
//
// A member that does not answer one node isn't declared dead at once: other
// members probe it too, it then becomes a suspect, and it has time to refute the
// suspicion with a higher incarnation. Nodes remember dead members and keep
// contacting them, so that the two sides of a healed network partition rejoin.
package gossiper
