package admitter

import (
	"math"
	"time"
)

const (
	// demandInterval is the length of a window in which arrivals are counted.
	demandInterval = 100 * time.Millisecond
	// demandTime is the time constant with which the demand follows its measured value
	// while every request passes the entry nodes. It grows with the mean weight of the
	// requests, up to maxDemandTimeFactor times: few requests that stand for many make
	// a noisy sample.
	demandTime          = 150 * time.Millisecond
	maxDemandTimeFactor = 2
	// slotTimeTime is the time constant of the mean slot time.
	slotTimeTime = 500 * time.Millisecond
	// demandFill is the fraction of the limit that the requests above the level fill.
	demandFill = 0.95
	// raiseDemand and clearDemand are the demands, as fractions of the limit, above
	// which the level is raised and below which it returns to 0. Requests that begin
	// cannot fill more than the limit, so a demand above it means that some were
	// rejected or wait.
	raiseDemand = 1.02
	clearDemand = 0.98
	// raiseWindows is the number of consecutive windows over raiseDemand that raise
	// the level: random arrivals exceed it in single windows below capacity.
	raiseWindows = 2
	// scarceDemand is the demand, as a fraction of the limit, from which the time in a
	// slot counts as a cost.
	scarceDemand = 0.8
	// floorFraction is the fraction of the mean passing share that the entry nodes
	// leave to every route, whatever its rank. It fills a part of the limit.
	floorFraction = 0.25
	// maxWeight bounds the weight of one request: a request that stands for more is a
	// probe, and a single one would raise the level by itself.
	maxWeight = 16
)

// drainTime is the time in which the requests that wait are to be worked off.
const drainTime = 500 * time.Millisecond

// UnknownWeight is the weight of a request for which the entry node's passing share is
// not known. It counts as much as the mean of the others.
const UnknownWeight = -1.0

// rankDemand is the demand of one rank.
type rankDemand struct {
	// weighted and counted are the arrivals in this window with a known weight: the sum
	// of their weights, and their number. unknown counts the others.
	weighted, counted, unknown float64
	// busySeconds and ended are the slot time and the number of the requests that
	// ended, with exponential decay.
	busySeconds, ended float64
	// slots is the smoothed demand.
	slots float64
}

// demand derives the admission level from the slot time that the offered requests
// need. Each request that passed an entry node stands for as many as its weight, the
// inverse of the share that the entry node let pass when it admitted the root request.
// The sum is the demand without any shedding, however long the requests took to get
// here, so the level need not be stepped and cannot oscillate with the delay of the
// call chain.
type demand struct {
	ranks       [1 << rankBits]rankDemand
	windowStart time.Time
	// meanWeight is the smoothed mean weight; 0 before the first window.
	meanWeight float64
	// total is the demand of all ranks in slots, limit the limit that it was last
	// compared with.
	total, limit float64
	// backlog is the part of the limit, in slots, that the waiting requests need in
	// drainTime.
	backlog float64
	// rejected counts the calls that were rejected in this window, arrived all requests
	// that came.
	rejected, arrived float64
	// overWindows counts the consecutive windows over raiseDemand.
	overWindows int
	level       Priority
}

// recordArrival counts a request that stands for weight requests. A weight of 0 stands
// for a request that another node of the service has counted.
func (d *demand) recordArrival(p Priority, weight float64) {
	r := &d.ranks[p.rank()]
	d.arrived++
	switch {
	case weight < 0:
		r.unknown++
	case weight > 0:
		r.weighted += min(max(weight, 1), maxWeight)
		r.counted++
	}
}

// recordRejection counts a rejected call. A root request makes no further ones here.
func (d *demand) recordRejection(p Priority) {
	if p&downstreamBit != 0 {
		d.rejected++
	}
}

// recordEnd counts the slot time of a request that ended.
func (d *demand) recordEnd(p Priority, elapsed time.Duration) {
	r := &d.ranks[p.rank()]
	r.busySeconds += elapsed.Seconds()
	r.ended++
}

// advance sets the level if the window is over, and begins the next one. service is
// the mean slot time of all requests, for ranks of which none has ended.
func (d *demand) advance(now time.Time, limit, queued int, service time.Duration) {
	if d.windowStart.IsZero() {
		d.windowStart = now
	}
	elapsed := now.Sub(d.windowStart)
	if elapsed < demandInterval {
		return
	}
	d.windowStart = now
	d.limit = float64(max(limit, 1))
	weight := d.windowWeight()
	smoothing := float64(demandTime) * min(weight, maxDemandTimeFactor)
	newest := 1 - math.Exp(-float64(elapsed)/smoothing)
	kept := math.Exp(-float64(elapsed) / float64(slotTimeTime))
	d.backlog = float64(queued) * service.Seconds() / drainTime.Seconds()
	d.total = 0
	// A request whose call is rejected makes no further calls, which would have been
	// demand too.
	missing := 1 + d.rejected/max(d.arrived, 1)
	d.rejected, d.arrived = 0, 0
	for i := range d.ranks {
		r := &d.ranks[i]
		slotSeconds := service.Seconds()
		if r.ended > 0 {
			slotSeconds = r.busySeconds / r.ended
		}
		offered := (r.weighted + r.unknown*weight) * missing * slotSeconds / elapsed.Seconds()
		r.slots += newest * (offered - r.slots)
		r.weighted, r.counted, r.unknown = 0, 0, 0
		// The decay keeps the mean while no request ends.
		r.busySeconds, r.ended = r.busySeconds*kept, r.ended*kept
		d.total += r.slots
	}
	d.setLevel()
}

// windowWeight returns the mean weight of the requests of recent windows.
func (d *demand) windowWeight() float64 {
	var weighted, counted float64
	for i := range d.ranks {
		weighted += d.ranks[i].weighted
		counted += d.ranks[i].counted
	}
	if counted > 0 {
		mean := weighted / counted
		if d.meanWeight == 0 {
			d.meanWeight = mean
		}
		d.meanWeight += 0.5 * (mean - d.meanWeight)
	}
	return max(d.meanWeight, 1)
}

// setLevel compares the demand with the limit. A queue is demand that did not find room: one
// that stands while the rest is just within the limit would never be worked off.
func (d *demand) setLevel() {
	switch wanted := d.total + d.backlog; {
	case wanted > raiseDemand*d.limit:
		d.overWindows++
	case wanted < clearDemand*d.limit:
		d.overWindows = 0
	}
	if d.overWindows < raiseWindows {
		d.level = 0
		return
	}
	d.level = d.cut()
}

// cut returns the priority above which the demand fills demandFill of the limit, with
// the floor of the requests below it.
func (d *demand) cut() Priority {
	available := demandFill*d.limit - min(d.backlog, d.limit/4)
	floor := floorFraction * min(1, available/d.total)
	below := d.total
	for rank := len(d.ranks) - 1; rank >= 0; rank-- {
		slots := d.ranks[rank].slots
		below -= slots
		room := available - floor*below
		if slots <= room {
			available -= slots
			continue
		}
		passing := max(room/slots, floor)
		return NewPriority(uint32(rank), false, 0) + Priority(math.Round((1-passing)*hashCount))
	}
	return 0
}

// scarce reports whether the time in a slot of the target counts as a cost.
func (d *demand) scarce() bool { return d.level > 0 || d.total > scarceDemand*d.limit }
