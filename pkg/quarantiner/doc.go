// Package quarantiner detects requests that crash the targets that run them.
//
// The requests in flight at a target when it crashes become suspects, except
// those that recently succeeded at the same node. A request that was in flight at
// two crashes is quarantined: every node rejects it. When a target answers a
// request with success, the request is cleared of all earlier crashes.
//
// Nodes announce two kinds of items to each other. Crash parts list requests
// that were in flight at one crash. There are many of them, and it suffices that
// some node receives two crashes of a request. Decisions are few and must reach
// every node; each holds the crashes of one request and those of which it was
// cleared.
package quarantiner
