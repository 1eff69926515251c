package limiter

import (
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

// heldBatch is a batch of tokens that the holder of one data centre granted to
// this node.
type heldBatch struct {
	centre      string
	id          uint64
	count       uint32
	spent       uint32
	expiry      time.Time
	requestedAt time.Time
}

// tokenCache holds a node's tokens of one team.
type tokenCache struct {
	batches []*heldBatch
	// reports are, by data centre, those to send with the next request there.
	reports map[string][]*control.Spent
	// waiting are the results of the requests that wait for a refill, in order.
	waiting   []chan error
	refilling bool
	// requestRate is the moving average of the requests per second; arrivals
	// counts the requests since countedSince.
	arrivals     float64
	countedSince time.Time
	requestRate  float64
	// retryAt is until when requests without a token are decided without asking
	// a holder; wait is the time after which rejected callers may retry.
	retryAt time.Time
	wait    time.Duration
	// localReserve admits requests while no holder is reachable.
	localReserve reserve
	// holderUnreachable means that the last refill reached no holder.
	holderUnreachable bool
	// postponedSince is when requests began to wait for a holder or deputy that
	// has announced when it will grant tokens; zero if none wait.
	postponedSince time.Time
}
