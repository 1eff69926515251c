// Package gossiper keeps one table of all instances on every node. Changes
// spread as updates in small datagrams: within a data centre each member passes
// them on to a few neighbours that do not have them yet, and a few members, the
// bridges, pass them on to each other data centre. Probes at a constant rate find
// dead members. They carry a digest of the table; members that differ compare by
// buckets, as all do slowly, which mends whatever was missed.
//
// Silence of one peer is not death: other members probe too, a suspect may
// refute with a higher incarnation, and only then it counts as dead. Dead
// members are remembered and tried now and then, so that two halves of a cut
// find each other again.
package gossiper
