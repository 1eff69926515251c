package limiter

import (
	"math"
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// term is how long tokens may be spent after they were asked for.
	term = time.Second
	// drift is what clocks of two machines may differ in running that long.
	drift = 50 * time.Millisecond
	// lendAhead is the own demand that a lender keeps back.
	lendAhead = 200 * time.Millisecond
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
	part  Part
	level float64
	// at is up to when the level is filled.
	at      time.Time
	batches map[uint64]*batch
	// demand in tokens per second asked for by the own data centre.
	demand  float64
	asked   float64
	askedAt time.Time
	grants  grants
	// granted is the rate that nodes may have been using since at.
	granted float64
	// silent of so many nodes may hold grants of former holders until then.
	silent, nodes int
	silentUntil   time.Time
}

// newBucket makes a bucket that is empty at opens and fills from then on. The
// time until it is first asked counts too: nothing was handed out in it.
func newBucket(opens time.Time, part Part) *bucket {
	return &bucket{at: opens, part: part, batches: map[uint64]*batch{}, askedAt: opens, grants: grants{}}
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
func (b *bucket) refill(now time.Time, part Part) {
	// The lower of before and after counts for the time between.
	b.part = Part{Rate: math.Min(b.part.Rate, part.Rate), Burst: math.Min(b.part.Burst, part.Burst)}
	for {
		id, next := b.nextExpiry()
		if next == nil || now.Before(next.expiry) {
			break
		}
		b.grow(next.expiry)
		delete(b.batches, id)
	}
	b.grow(now)
	b.part = part
	b.grants.drop(now)
	b.granted = b.grantedNow(now)
}

// room is the most that the level may be: what may still be spent elsewhere
// takes from the burst.
func (b *bucket) room() float64 {
	_, saved, _ := b.grants.sums("")
	return b.part.Burst - b.outstanding() - saved
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
func (b *bucket) grow(to time.Time) {
	if to.After(b.at) {
		b.level += math.Max(0, b.part.Rate-b.granted) * to.Sub(b.at).Seconds()
		b.at = to
	}
	b.level = math.Max(0, math.Min(b.level, b.room()))
}

// report takes what became of batches; the bucket must be refilled up to now,
// since the tokens filled their room until now.
func (b *bucket) report(spent []*control.Spent) {
	for _, s := range spent {
		batch, ok := b.batches[s.Batch]
		if !ok {
			continue
		}
		batch.spent = max(batch.spent, min(s.Count, batch.count))
		if s.Closed {
			b.level += float64(batch.count - batch.spent)
			delete(b.batches, s.Batch)
		}
	}
}

// give hands out up to count tokens under a new id.
func (b *bucket) give(now time.Time, id uint64, count uint32, loan bool) uint32 {
	free := b.level
	if loan {
		free -= b.demand * lendAhead.Seconds()
	} else {
		b.ask(now, count)
	}
	// Batches fill at most half of the burst, or what is spent before it is
	// reported would keep the bucket from filling at its rate.
	room := math.Max(1, math.Floor(b.part.Burst/2-b.outstanding()))
	given := uint32(math.Max(0, math.Min(math.Min(float64(count), room), math.Floor(free))))
	if given == 0 {
		return 0
	}
	b.level -= float64(given)
	b.batches[id] = &batch{count: given, expiry: now.Add(term + drift)}
	return given
}

// ask keeps the demand of the own data centre.
func (b *bucket) ask(now time.Time, count uint32) {
	b.asked += float64(count)
	age := now.Sub(b.askedAt)
	if age < lendAhead {
		return
	}
	b.demand += demandWeight * (b.asked/age.Seconds() - b.demand)
	b.asked, b.askedAt = 0, now
}

const (
	// shortWait is when a caller may come back who was refused though the team
	// is within its rate: a few tokens later.
	shortWait = 40 * time.Millisecond
	// longWait is that time for each part of the rate that the team is over it.
	longWait = 1500 * time.Millisecond
	// mostWait bounds it.
	mostWait = 3 * time.Second
)

// wait is the time until a token is likely, for the caller's Retry-After. The
// more of the demand is over the rate, the later callers may come back, so that
// those who do find tokens.
func (b *bucket) wait() time.Duration {
	if b.part.Rate <= 0 {
		return term
	}
	_, _, demand := b.grants.sums("")
	least := time.Duration(math.Min(1/b.part.Rate, 60) * float64(time.Second))
	over := time.Duration(math.Max(0, demand/b.part.Rate-1) * float64(longWait))
	return max(least, min(shortWait+over, mostWait))
}
