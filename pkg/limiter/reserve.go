package limiter

import (
	"math"
	"time"
)

// reserveBurstFraction is the fraction of a node's reserve that is available at
// once. Requests need the reserve as soon as the holder is lost, while a deputy
// takes over only after standbyDelay.
const reserveBurstFraction = 0.5

// Reserve is what a node may admit of a team on its own while it reaches
// neither a holder nor a deputy. The zero value admits nothing.
type Reserve struct {
	// Rate at which the reserve fills, in requests per second.
	Rate float64
	// Capacity is the most that accumulates, in requests. The reserve starts
	// full.
	Capacity float64
}

// NewReserve returns one node's share of the requests by which a team may exceed
// its limit within a window: ratio times the limit over the window, plus slack. A
// share of less than one request admits nothing.
func NewReserve(limit Allocation, window time.Duration, ratio, slack float64, nodes int) Reserve {
	if window <= 0 || nodes < 1 {
		return Reserve{}
	}
	share := ((limit.Rate*window.Seconds()+limit.Burst)*ratio + slack) / float64(nodes)
	if share < 1 {
		return Reserve{}
	}
	capacity := math.Max(1, share*reserveBurstFraction)
	return Reserve{Rate: (share - capacity) / window.Seconds(), Capacity: capacity}
}

// reserve is the token bucket for a node's Reserve of a team.
type reserve struct {
	rate  float64
	level float64
	at    time.Time
}

// take admits one request if the reserve allows it.
func (r *reserve) take(now time.Time, limit Reserve) bool {
	if r.at.IsZero() {
		r.level = limit.Capacity
	} else if now.After(r.at) {
		r.level += math.Min(limit.Rate, r.rate) * now.Sub(r.at).Seconds()
	}
	r.level = math.Min(r.level, limit.Capacity)
	r.rate, r.at = limit.Rate, now
	if r.level < 1 {
		return false
	}
	r.level--
	return true
}
