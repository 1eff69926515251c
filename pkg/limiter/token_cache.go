package limiter

import (
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

// heldBatch is a batch of tokens from one data centre.
type heldBatch struct {
	centre      string
	id          uint64
	count       uint32
	spent       uint32
	expiry      time.Time
	requestedAt time.Time
}

// tokenCache is what a node has of one team's tokens.
type tokenCache struct {
	batches []*heldBatch
	// reports by data centre, to be sent with the next request there.
	reports   map[string][]*control.Spent
	waiting   []chan error
	refilling bool
	// counted since countedAt gives the heat in requests per second.
	arrivals     float64
	countedSince time.Time
	requestRate  float64
	// barred is until when the team is refused without asking.
	retryAt time.Time
	wait    time.Duration
	// reserved is used while no holder is in reach.
	localReserve reserve
	// missed tells that the last ask reached no holder.
	holderUnreachable bool
	// postponedSince is when requests began to wait for a holder or a deputy that has
	// said when it hands out tokens; zero when none does.
	postponedSince time.Time
}
