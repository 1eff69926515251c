// Package faulter names the points at which tests can make a process fail. Only
// builds with the tag "faults" can fail there; in all other builds Reach does
// nothing.
package faulter

// Point is a place in the program where a fault can be injected.
type Point string

// Points where a fault can be injected.
const (
	// EntryClaiming is before the entry node asks the replicas for a claim.
	EntryClaiming Point = "entry-claiming"
	// EntryClaimed is after a majority of the replicas has granted the claim.
	EntryClaimed Point = "entry-claimed"
	// EntryAnswered is after the target's node has answered, before the entry
	// node records the answer.
	EntryAnswered Point = "entry-answered"
	// EntrySettled is after the entry node has recorded the answer, before it
	// sends the answer to the caller.
	EntrySettled Point = "entry-settled"
	// HopReceived is when the target's node receives a request.
	HopReceived Point = "hop-received"
	// HopDelivering is just before the target's node sends the request to the
	// target.
	HopDelivering Point = "hop-delivering"
	// HopAnswered is after the target has answered.
	HopAnswered Point = "hop-answered"
	// ClaimSyncing is before a replica syncs a claim.
	ClaimSyncing Point = "claim-syncing"
	// ClaimSynced is after a replica has synced a claim, before it replies.
	ClaimSynced Point = "claim-synced"
	// SettleSynced is after a replica has synced an answer or a release, or has
	// failed to.
	SettleSynced Point = "settle-synced"
	// PromiseSynced is after a replica has synced a promise to a proposer.
	PromiseSynced Point = "promise-synced"
	// AcceptSyncing is before a replica syncs a value that it accepts.
	AcceptSyncing Point = "accept-syncing"
	// AcceptSynced is after a replica has synced the value, before it replies.
	AcceptSynced Point = "accept-synced"
	// Chosen is when a proposer learns that a value is chosen.
	Chosen Point = "chosen"
	// Installed is after a replica has joined an epoch.
	Installed Point = "installed"
	// RecordsCopied is after a new replica has collected the claim records of the
	// former set, or has given up on them, before it merges them into its own.
	RecordsCopied Point = "records-copied"
	// FetchAsked is when a node is asked for its configuration by a node with an
	// older one.
	FetchAsked Point = "fetch-asked"
)
