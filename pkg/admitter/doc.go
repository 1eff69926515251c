// Package admitter decides which requests the node's own target runs, and in
// which order. It derives a concurrency limit from the target's behaviour; the
// limit never exceeds the slots that the target announced. Requests that find no
// free slot wait in a short queue, which is ordered by class and, within a class,
// by deficit round robin over the teams, weighted by the target time of their
// requests. When the queue is full, the admitter rejects the least urgent request
// at once.
//
// A target may name a limit in requests a second. Requests then begin at that rate;
// those that find no room in it wait and are rejected in the same order.
//
// With UseObjectives requests wait only as long as they can still be answered within
// their objective, and within a team those whose objective ends first go first.
//
// An admission level, which the node reports to upstream nodes, says which
// requests the admitter would reject, so that the entry node rejects them before
// any work is spent on them. It is set from the slot time that the offered requests need,
// with those that entry nodes hold back.
package admitter
