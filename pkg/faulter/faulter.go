// Package faulter names the steps at which tests let a process fail. Only
// builds with the tag "faults" can fail there; in all others Reach does
// nothing.
package faulter

// Point is a step of the program.
type Point string

// The points.
const (
	// EntryClaiming is before the replicas are asked for a claim.
	EntryClaiming Point = "entry-claiming"
	// EntryClaimed is after a majority has granted the claim.
	EntryClaimed Point = "entry-claimed"
	// EntryAnswered is after the target's node has answered.
	EntryAnswered Point = "entry-answered"
	// EntrySettled is after the answer was recorded, before it goes out.
	EntrySettled Point = "entry-settled"
	// HopReceived is when the target's node gets a request.
	HopReceived Point = "hop-received"
	// HopDelivering is just before the request goes to the target.
	HopDelivering Point = "hop-delivering"
	// HopAnswered is after the target has answered.
	HopAnswered Point = "hop-answered"
	// ClaimSyncing is before a replica syncs a claim.
	ClaimSyncing Point = "claim-syncing"
	// ClaimSynced is after that, before the replica answers.
	ClaimSynced Point = "claim-synced"
	// SettleSynced is after a replica has synced an answer.
	SettleSynced Point = "settle-synced"
	// PromiseSynced is after a replica has synced a promise.
	PromiseSynced Point = "promise-synced"
	// AcceptSyncing is before a replica syncs a value.
	AcceptSyncing Point = "accept-syncing"
	// AcceptSynced is after that, before the replica answers.
	AcceptSynced Point = "accept-synced"
	// Chosen is when a proposer knows that a value is chosen.
	Chosen Point = "chosen"
	// Installed is after a replica has joined an epoch.
	Installed Point = "installed"
	// RecordsCopied is before a replica completes the copy of records.
	RecordsCopied Point = "records-copied"
	// FetchAsked is when a node is asked for a configuration that it has.
	FetchAsked Point = "fetch-asked"
)
