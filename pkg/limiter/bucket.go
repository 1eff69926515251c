package limiter

import (
	"math"
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// tokenTTL is how long a node may spend tokens after it requested them.
	tokenTTL = time.Second
	// maxDrift bounds how far the clocks of two machines drift apart within
	// tokenTTL.
	maxDrift = 50 * time.Millisecond
	// loanReserveWindow is the time for which a holder keeps enough tokens for
	// the demand of its own data centre when it grants tokens to another one.
	// It is also the shortest time over which that demand is measured.
	loanReserveWindow = 200 * time.Millisecond
	// demandWeight is the weight of the newest measurement in the moving average
	// of a bucket's demand.
	demandWeight = 0.3
)

// batch is a number of tokens granted together.
type batch struct {
	count  uint32
	spent  uint32
	expiry time.Time
}

// bucket is the holder's token bucket of one team in one data centre.
// Invariant: level plus all granted tokens that may still be spent is at most
// the burst.
type bucket struct {
	share Allocation
	level float64
	// filledAt is the time up to which level has been filled.
	filledAt time.Time
	batches  map[uint64]*batch
	// demand is the moving average of the tokens per second that the holder's
	// own data centre requests; requested counts the tokens since
	// requestedSince.
	demand         float64
	requested      float64
	requestedSince time.Time
	// deputies of the shard, by instance name.
	deputies map[string]*deputyRecord
	// refundable is, by deputy, the number of tokens withheld because the deputy
	// may have granted them. The bucket gets back those that it did not grant,
	// as far as there is room.
	refundable map[string]float64
	// peakRate is the rate before it was lowered. Deputies may still grant at it
	// until peakUntil.
	peakRate  float64
	peakUntil time.Time
}

// newBucket returns a bucket that is empty at opensAt and fills from then on,
// also before the first request for it, since this holder granted none of its
// tokens in that time. Deputies may have granted some, so it starts to fill
// only when the last of them stopped.
func newBucket(opensAt time.Time, share Allocation, deputies map[string]*deputyRecord) *bucket {
	b := &bucket{filledAt: opensAt, share: share, batches: map[uint64]*batch{}, requestedSince: opensAt, deputies: deputies, refundable: map[string]float64{}}
	for _, d := range deputies {
		if d.stoppedAt.After(b.filledAt) {
			b.filledAt = d.stoppedAt
		}
	}
	return b
}

// outstanding counts the tokens that may still be spent.
func (b *bucket) outstanding() float64 {
	sum := 0.0
	for _, batch := range b.batches {
		sum += float64(batch.count - batch.spent)
	}
	return sum
}

// replenish fills the bucket up to now and sets its share. It proceeds from one
// batch expiry to the next, since the unspent tokens of a batch take up room in
// the bucket until they expire.
func (b *bucket) replenish(now time.Time, share Allocation) {
	if share.Rate < b.share.Rate {
		b.peakRate, b.peakUntil = max(b.deputyRate(now), b.share.Rate), now.Add(standbyGrantTTL+maxDrift)
	}
	// It isn't known when within the interval the share changed, so the lower
	// of the old and the new one applies to all of it.
	b.share = Allocation{Rate: math.Min(b.share.Rate, share.Rate), Burst: math.Min(b.share.Burst, share.Burst)}
	for {
		id, next := b.nextExpiry()
		if next == nil || now.Before(next.expiry) {
			break
		}
		b.fillUntil(next.expiry)
		delete(b.batches, id)
	}
	b.fillUntil(now)
	b.share = share
}

// deputyRate is the highest rate of which a deputy may be granting its share.
func (b *bucket) deputyRate(now time.Time) float64 {
	if now.Before(b.peakUntil) {
		return max(b.peakRate, b.share.Rate)
	}
	return b.share.Rate
}

// room is the maximum level: the burst less the tokens that may still be spent,
// whether this holder or a deputy granted them.
func (b *bucket) room() float64 {
	room := b.share.Burst - b.outstanding()
	rate := b.deputyRate(b.filledAt)
	for _, d := range b.deputies {
		if d.mayHaveTokens(b.filledAt) {
			room -= burstFor(rate*d.share, standbyBurstWindow) + rate*d.share*standbyTokenTTL.Seconds()
		}
	}
	return math.Max(0, room)
}

// deputiesActive reports whether a deputy may be granting tokens, or tokens that
// a deputy granted may still be spent.
func (b *bucket) deputiesActive(now time.Time) bool {
	for _, d := range b.deputies {
		if d.mayHaveTokens(now) {
			return true
		}
	}
	return false
}

func (b *bucket) nextExpiry() (uint64, *batch) {
	var first uint64
	for id, batch := range b.batches {
		if first == 0 || batch.expiry.Before(b.batches[first].expiry) {
			first = id
		}
	}
	return first, b.batches[first]
}

// fillUntil fills the bucket up to a time that is not after the next batch
// expiry.
func (b *bucket) fillUntil(to time.Time) {
	if to.After(b.filledAt) {
		b.level += b.share.Rate * to.Sub(b.filledAt).Seconds()
		for name, d := range b.deputies {
			b.deductDeputy(name, b.deputyRate(b.filledAt)*d.share*d.grantingTime(b.filledAt, to).Seconds())
		}
		b.filledAt = to
	}
	b.cap()
}

// deductDeputy withholds tokens that a deputy may have granted.
func (b *bucket) deductDeputy(name string, count float64) {
	if count > 0 {
		b.level -= count
		b.refundable[name] += count
	}
}

// cap limits the level, and the level plus all possible refunds, to the room.
func (b *bucket) cap() {
	room := b.room()
	b.level = math.Min(b.level, room)
	sum := 0.0
	for _, count := range b.refundable {
		sum += count
	}
	if left := room - b.level; sum > left {
		for name := range b.refundable {
			b.refundable[name] *= math.Max(0, left) / sum
		}
	}
}

// settleDeputy replaces the tokens withheld for a deputy by the number that it
// granted. If it has not reported that number, all are taken as granted. From
// now on the deputy may have been granting tokens only since from.
func (b *bucket) settleDeputy(name string, used uint64, reported bool, from time.Time) {
	if reported {
		b.level += math.Max(0, b.refundable[name]-float64(used))
	}
	delete(b.refundable, name)
	d := b.deputies[name]
	if from.Before(b.filledAt) {
		b.deductDeputy(name, b.deputyRate(b.filledAt)*d.share*b.filledAt.Sub(from).Seconds())
	}
	b.cap()
}

// applyReports records how many tokens of each batch were spent and takes back
// the rest of closed batches. The bucket must have been replenished up to now
// before, since the reported tokens took up room until now.
func (b *bucket) applyReports(spent []*control.Spent) {
	for _, s := range spent {
		batch, ok := b.batches[s.Batch]
		if !ok {
			continue
		}
		batch.spent = max(batch.spent, min(s.Count, batch.count))
		if s.Closed {
			b.level += float64(batch.count - batch.spent)
			b.requested -= float64(batch.count - batch.spent)
			delete(b.batches, s.Batch)
		}
	}
}

// grant grants up to count tokens as a batch with the given id. loan is set if the
// requesting node belongs to another data centre.
func (b *bucket) grant(now time.Time, id uint64, count uint32, loan bool) uint32 {
	available := b.level
	if loan {
		available -= b.demand * loanReserveWindow.Seconds()
	} else {
		b.recordDemand(now, count)
	}
	// Batches take up at most half of the burst (but one token is always
	// possible). Otherwise tokens that are spent but not yet reported would
	// leave too little room for the bucket to fill at its rate.
	room := math.Max(1, math.Floor(b.share.Burst/2-b.outstanding()))
	granted := uint32(math.Max(0, math.Min(math.Min(float64(count), room), math.Floor(available))))
	if granted == 0 {
		return 0
	}
	b.level -= float64(granted)
	b.batches[id] = &batch{count: granted, expiry: now.Add(tokenTTL + maxDrift)}
	return granted
}

// recordDemand adds a request of the holder's own data centre to the demand.
func (b *bucket) recordDemand(now time.Time, count uint32) {
	b.requested += float64(count)
	age := now.Sub(b.requestedSince)
	if age < loanReserveWindow {
		return
	}
	b.demand += demandWeight * (math.Max(0, b.requested)/age.Seconds() - b.demand)
	b.requested, b.requestedSince = 0, now
}

const (
	// baseRetryDelay is the delay after which a rejected caller may retry when
	// the team's demand is within its rate: the time of a few tokens.
	baseRetryDelay = 40 * time.Millisecond
	// excessRetryDelay is added to it in proportion to the excess: once when the
	// demand is twice the rate.
	excessRetryDelay = 1500 * time.Millisecond
	// maxRetryDelay bounds the sum.
	maxRetryDelay = 3 * time.Second
)

// retryDelay is the time until a token is likely to be available, for the
// caller's Retry-After. It grows with the excess of the demand over the rate, so
// that callers that do retry find tokens.
func (b *bucket) retryDelay() time.Duration {
	if b.share.Rate <= 0 {
		return tokenTTL
	}
	shortest := time.Duration(math.Min(1/b.share.Rate, 60) * float64(time.Second))
	excess := time.Duration(math.Max(0, b.demand/b.share.Rate-1) * float64(excessRetryDelay))
	return max(shortest, min(baseRetryDelay+excess, maxRetryDelay))
}
