// Package admitter decides which requests the own target runs, and in which
// order. A concurrency limit is found from the target's behaviour and never
// exceeds its announced slots. Requests that find no slot wait in a short
// queue ordered by class, and within a class by deficit round robin over the
// teams, weighed by the time that their requests take. When the queue is full
// the least urgent request gets its refusal at once.
//
// A level tells callers upstream which requests would be refused here, so
// that the entry refuses them before work is spent on them.
package admitter
