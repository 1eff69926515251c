package limiter

import (
	"math"
	"time"
)

// reserveSaved is the part of its reserve that a node keeps ready: a holder is
// missed at once, and a deputy follows only after standbyDelay.
const reserveBurstFraction = 0.5

// Reserve is what a node may admit of a team on its own while it reaches
// neither a holder nor a deputy. The zero value admits nothing.
type Reserve struct {
	// Rate in requests per second.
	Rate float64
	// Saved is the most that is kept of it, in requests.
	Capacity float64
}

// NewReserve makes a node's part of a tolerance of the team's limit over a
// window. A part of less than one request admits nothing.
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

// reserve is the bucket of a node's Reserve.
type reserve struct {
	rate  float64
	level float64
	at    time.Time
}

// take spends one request.
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
