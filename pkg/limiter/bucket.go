package limiter

import (
	"math"
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// term is how long tokens may be spent after they were asked for.
	tokenTTL = time.Second
	// drift is what clocks of two machines may differ in running that long.
	maxDrift = 50 * time.Millisecond
	// lendAhead is the own demand that a lender keeps back.
	loanReserveWindow = 200 * time.Millisecond
	// demandWeight is that of the newest second in the demand of a bucket.
	demandWeight = 0.3
)

// batch is a number of tokens handed out together.
type batch struct {
	count  uint32
	spent  uint32
	expiry time.Time
}

// bucket is the holder's side of one team in one data centre. At all times
// level plus the tokens that may still be spent is at most the burst.
type bucket struct {
	share Allocation
	level float64
	// at is up to when the level is filled.
	filledAt time.Time
	batches  map[uint64]*batch
	// demand in tokens per second asked for by the own data centre.
	demand         float64
	requested      float64
	requestedSince time.Time
	// deputies are those of the shard, by instance.
	deputies map[string]*deputyRecord
	// refundable is what the bucket did not fill with on account of a deputy,
	// and would have had room for.
	refundable map[string]float64
	// peak is the rate before it was lowered, which deputies may go by until
	// peakUntil.
	peakRate  float64
	peakUntil time.Time
}

// newBucket makes a bucket that is empty at opens and fills from then on. The
// time until it is first asked counts too: nothing was handed out in it, but
// for what deputies did.
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

// refill brings the level up to now. It goes from one expiry to the next,
// since until then the tokens of a batch leave less room to fill.
func (b *bucket) replenish(now time.Time, share Allocation) {
	if share.Rate < b.share.Rate {
		b.peakRate, b.peakUntil = max(b.deputyRate(now), b.share.Rate), now.Add(standbyGrantTTL+maxDrift)
	}
	// The lower of before and after counts for the time between.
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

// deputyRate is the rate that deputies go by.
func (b *bucket) deputyRate(now time.Time) float64 {
	if now.Before(b.peakUntil) {
		return max(b.peakRate, b.share.Rate)
	}
	return b.share.Rate
}

// room is the most that the level may be: what may still be spent elsewhere
// takes from the burst.
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

// isSplit tells whether a deputy may be handing out a part of the rate now.
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

// grow fills the bucket until a time at which no batch has expired yet.
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

// suspend takes off what a deputy may have handed out.
func (b *bucket) deductDeputy(name string, count float64) {
	if count > 0 {
		b.level -= count
		b.refundable[name] += count
	}
}

// cap keeps the level, and what may be added to it, within the room.
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

// settle ends the time in which a deputy was counted on to hand out tokens, of
// which it used so many; ones that did not say have used all. From then on it
// may hand out tokens since from.
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

// report takes what became of batches; the bucket must be refilled up to now,
// since the tokens filled their room until now.
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

// give hands out up to count tokens under a new id.
func (b *bucket) grant(now time.Time, id uint64, count uint32, loan bool) uint32 {
	available := b.level
	if loan {
		available -= b.demand * loanReserveWindow.Seconds()
	} else {
		b.recordDemand(now, count)
	}
	// Batches fill at most half of the burst, or what is spent before it is
	// reported would keep the bucket from filling at its rate.
	room := math.Max(1, math.Floor(b.share.Burst/2-b.outstanding()))
	granted := uint32(math.Max(0, math.Min(math.Min(float64(count), room), math.Floor(available))))
	if granted == 0 {
		return 0
	}
	b.level -= float64(granted)
	b.batches[id] = &batch{count: granted, expiry: now.Add(tokenTTL + maxDrift)}
	return granted
}

// ask keeps the demand of the own data centre.
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
	// shortWait is when a caller may come back who was refused though the team
	// is within its rate: a few tokens later.
	baseRetryDelay = 40 * time.Millisecond
	// longWait is that time for each part of the rate that the team is over it.
	excessRetryDelay = 1500 * time.Millisecond
	// mostWait bounds it.
	maxRetryDelay = 3 * time.Second
)

// wait is the time until a token is likely, for the caller's Retry-After. The
// more of the demand is over the rate, the later callers may come back, so that
// those who do find tokens.
func (b *bucket) retryDelay() time.Duration {
	if b.share.Rate <= 0 {
		return tokenTTL
	}
	shortest := time.Duration(math.Min(1/b.share.Rate, 60) * float64(time.Second))
	excess := time.Duration(math.Max(0, b.demand/b.share.Rate-1) * float64(excessRetryDelay))
	return max(shortest, min(baseRetryDelay+excess, maxRetryDelay))
}
