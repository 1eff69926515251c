// Package quarantiner finds requests that crash the targets that run them.
//
// The requests in flight at a crash are suspects, and one that is present at a
// second crash is refused on every node. A request that a target answers with
// success is a bystander: no crash before that counts against it any more.
//
// Nodes tell each other two things. Parts of crashes name the requests of one
// crash; they are many, and it is enough that some node hears of two crashes of
// a request. Decisions are few and must reach every node; they hold the crashes
// of one request and those of which it was cleared.
package quarantiner
