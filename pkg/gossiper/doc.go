// Package gossiper keeps one table of all instances on every node. Changes
// spread as updates in small datagrams; probes at a constant rate find dead
// members; a slow comparison of tables by buckets mends whatever was missed.
//
// Silence of one peer is not death: other members probe too, a suspect may
// refute with a higher incarnation, and only then it counts as dead. Dead
// members are remembered and tried now and then, so that two halves of a cut
// find each other again.
package gossiper
