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
	part  Allocation
	level float64
	// at is up to when the level is filled.
	at      time.Time
	batches map[uint64]*batch
	// demand in tokens per second asked for by the own data centre.
	demand  float64
	asked   float64
	askedAt time.Time
	// deputies are those of the shard, by instance.
	deputies map[string]*contact
	// refundable is what the bucket did not fill with on account of a deputy,
	// and would have had room for.
	refundable map[string]float64
	// peak is the rate before it was lowered, which deputies may go by until
	// peakUntil.
	peak      float64
	peakUntil time.Time
}

// newBucket makes a bucket that is empty at opens and fills from then on. The
// time until it is first asked counts too: nothing was handed out in it, but
// for what deputies did.
func newBucket(opens time.Time, part Allocation, deputies map[string]*contact) *bucket {
	b := &bucket{at: opens, part: part, batches: map[uint64]*batch{}, askedAt: opens, deputies: deputies, refundable: map[string]float64{}}
	for _, k := range deputies {
		if k.ended.After(b.at) {
			b.at = k.ended
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
func (b *bucket) refill(now time.Time, part Allocation) {
	if part.Rate < b.part.Rate {
		b.peak, b.peakUntil = max(b.deputyRate(now), b.part.Rate), now.Add(standbyHold+drift)
	}
	// The lower of before and after counts for the time between.
	b.part = Allocation{Rate: math.Min(b.part.Rate, part.Rate), Burst: math.Min(b.part.Burst, part.Burst)}
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
}

// deputyRate is the rate that deputies go by.
func (b *bucket) deputyRate(now time.Time) float64 {
	if now.Before(b.peakUntil) {
		return max(b.peak, b.part.Rate)
	}
	return b.part.Rate
}

// room is the most that the level may be: what may still be spent elsewhere
// takes from the burst.
func (b *bucket) room() float64 {
	room := b.part.Burst - b.outstanding()
	rate := b.deputyRate(b.at)
	for _, k := range b.deputies {
		if k.spending(b.at) {
			room -= saved(rate*k.part, standbySaved) + rate*k.part*standbyTerm.Seconds()
		}
	}
	return math.Max(0, room)
}

// isSplit tells whether a deputy may be handing out a part of the rate now.
func (b *bucket) isSplit(now time.Time) bool {
	for _, k := range b.deputies {
		if k.spending(now) {
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
func (b *bucket) grow(to time.Time) {
	if to.After(b.at) {
		b.level += b.part.Rate * to.Sub(b.at).Seconds()
		for name, k := range b.deputies {
			b.suspend(name, b.deputyRate(b.at)*k.part*k.overlap(b.at, to).Seconds())
		}
		b.at = to
	}
	b.cap()
}

// suspend takes off what a deputy may have handed out.
func (b *bucket) suspend(name string, count float64) {
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
func (b *bucket) settle(name string, used uint64, said bool, from time.Time) {
	if said {
		b.level += math.Max(0, b.refundable[name]-float64(used))
	}
	delete(b.refundable, name)
	k := b.deputies[name]
	if from.Before(b.at) {
		b.suspend(name, b.deputyRate(b.at)*k.part*b.at.Sub(from).Seconds())
	}
	b.cap()
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
			b.asked -= float64(batch.count - batch.spent)
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
	b.demand += demandWeight * (math.Max(0, b.asked)/age.Seconds() - b.demand)
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
	least := time.Duration(math.Min(1/b.part.Rate, 60) * float64(time.Second))
	over := time.Duration(math.Max(0, b.demand/b.part.Rate-1) * float64(longWait))
	return max(least, min(shortWait+over, mostWait))
}
