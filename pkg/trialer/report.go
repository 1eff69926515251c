package trialer

import (
	"fmt"
	"io"
	"math"
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyMicros is the highest latency that the histogram can hold.
	maxLatencyMicros = 600_000_000
	// histogramDigits is the number of significant digits of latencies.
	histogramDigits = 3
	// recoveredShare is the share of the requests offered, or of the capacity if
	// that is lower, which must be served to count as recovered.
	recoveredShare = 0.95
	// recoveryBuckets is the number of successive buckets over which
	// recoveredShare is computed.
	recoveryBuckets = 5
	// settlingSeconds is the time after an event in which rejections still
	// count as caused by it.
	settlingSeconds = 2.0
)

// Report holds the figures of one run. If the plan has no events, figures
// "during the events" cover the whole run.
type Report struct {
	Name string `json:"name"`
	Mode string `json:"way"`
	// Capacity is the highest rate in requests per second that the slots allow
	// without events.
	Capacity float64 `json:"capacity"`
	// BestRate is the highest rate in requests per second that could be served
	// during the events.
	BestRate float64 `json:"best"`
	// Goodput is the rate of requests served during the events, per second.
	Goodput float64 `json:"goodput"`
	// GoodputShare is Goodput divided by BestRate.
	GoodputShare float64 `json:"part"`
	// ImportantShare is the share of important requests that were served during
	// the events.
	ImportantShare float64 `json:"important"`
	// RecoverySeconds is the time from the end of the last event until goodput
	// had recovered; -1 without events, infinite if it didn't recover.
	RecoverySeconds float64 `json:"recovery"`
	// WorstShare is the lowest ratio of requests served to the fair share of a
	// team during the events.
	WorstShare float64 `json:"worst"`
	// WorstTeam is the team with that ratio.
	WorstTeam string `json:"worstteam"`
	// WrongfulShare is the share of requests outside the events that were
	// rejected or failed.
	WrongfulShare float64 `json:"wrongful"`
	// SendsPerRequest is the number of attempts per request, retries included.
	SendsPerRequest float64 `json:"sends"`
	// P50 and P99 are latency percentiles of served requests and FailureP99 of
	// all other requests, in milliseconds.
	P50        float64 `json:"p50"`
	P99        float64 `json:"p99"`
	FailureP99 float64 `json:"r99"`
	// Rejections counts responses other than 200 by their reason, retries
	// included. Responses that come from a target have an empty reason.
	Rejections map[string]int `json:"reasons"`
	// ServedRates is the rate of requests served in each time bucket, per
	// second.
	ServedRates []float64 `json:"over"`
	// OfferedRates is the rate of requests that arrived in each time bucket, per
	// second.
	OfferedRates []float64 `json:"asked"`
}

// newReport computes the figures of a run.
func newReport(p *Plan, mode string, r *recorder) *Report {
	out := &Report{Name: p.Name, Mode: mode, Capacity: p.Capacity(), Rejections: r.rejections}
	first, last := p.firstEventStart(), p.lastEventEnd()
	if last == 0 {
		first, last = 0, float64(p.Seconds)
	}
	out.fillEventFigures(p, r, first, last)
	out.RecoverySeconds = recoverySeconds(p, r, last)
	out.WrongfulShare = wrongfulShare(p, r)
	offeredTotal := 0.0
	for i := range r.buckets {
		served, offered := sumCounts(r, i, i+1, nil)
		out.ServedRates = append(out.ServedRates, served/bucketLength.Seconds())
		out.OfferedRates = append(out.OfferedRates, offered/bucketLength.Seconds())
		offeredTotal += offered
	}
	out.SendsPerRequest = float64(r.sends) / math.Max(offeredTotal, 1)
	h := hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
	for _, v := range r.servedMicros {
		// RecordValue can't fail: latencies above the maximum count as the
		// maximum.
		_ = h.RecordValue(min(max(v, 1), maxLatencyMicros))
	}
	out.P50, out.P99 = float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000
	h.Reset()
	for _, v := range r.failedMicros {
		_ = h.RecordValue(min(max(v, 1), maxLatencyMicros))
	}
	out.FailureP99 = float64(h.ValueAtQuantile(99)) / 1000
	return out
}

// sumCounts adds up the requests served and offered in the buckets from from to
// to-1, for keys that match. If match is nil, all keys do.
func sumCounts(r *recorder, from, to int, match func(countKey) bool) (served, offered float64) {
	for i := max(from, 0); i < min(to, len(r.buckets)); i++ {
		for key, count := range r.buckets[i] {
			if match == nil || match(key) {
				served += count.Outcomes[Served]
				offered += count.Offered
			}
		}
	}
	return served, offered
}

// bucketIndex is the time bucket of a second of the run.
func bucketIndex(second float64) int { return int(second / bucketLength.Seconds()) }

// fillEventFigures computes the figures for the time between first, the start of
// the first event, and last, the end of the last event, in seconds.
func (rp *Report) fillEventFigures(p *Plan, r *recorder, first, last float64) {
	from, to := bucketIndex(first), bucketIndex(last)
	seconds := last - first
	served, _ := sumCounts(r, from, to, nil)
	rp.Goodput = served / seconds
	rp.BestRate = math.Min(totalDemand(p, r, from, to, nil)/seconds, rp.capacityDuringEvents(p))
	rp.GoodputShare = rp.Goodput / math.Max(rp.BestRate, 1)
	importantServed, importantOffered := sumCounts(r, from, to, func(c countKey) bool { return c.important })
	rp.ImportantShare = importantServed / math.Max(importantOffered, 1)
	rp.WorstShare = 1
	fairShares := fairShares(p, r, from, to, rp.BestRate*seconds)
	for _, t := range p.Teams {
		teamServed, _ := sumCounts(r, from, to, func(c countKey) bool { return c.team == t.Name })
		if share := teamServed / math.Max(fairShares[t.Name], 1); share < rp.WorstShare || rp.WorstTeam == "" {
			rp.WorstShare, rp.WorstTeam = share, t.Name
		}
	}
}

// capacityDuringEvents is the capacity with all slow and away events in effect at
// once.
func (rp *Report) capacityDuringEvents(p *Plan) float64 {
	changed := *p
	changed.Layers = append([]Layer(nil), p.Layers...)
	for _, e := range p.Events {
		for i := range changed.Layers {
			l := &changed.Layers[i]
			switch {
			case l.Service != e.Name:
			case e.Kind == kindSlow:
				l.ServiceTime *= e.Factor
			case e.Kind == kindAway:
				l.Targets -= l.Targets / 2
			}
		}
	}
	return changed.Capacity()
}

// demandWithinLimit is how many requests a team offered for the keys that match,
// scaled down by the same factor for all keys if the team's total exceeds its
// rate limit.
func demandWithinLimit(t Team, r *recorder, from, to int, match func(countKey) bool) float64 {
	seconds := float64(to-from) * bucketLength.Seconds()
	_, offered := sumCounts(r, from, to, func(c countKey) bool { return c.team == t.Name })
	_, matching := sumCounts(r, from, to, func(c countKey) bool { return c.team == t.Name && (match == nil || match(c)) })
	return matching * math.Min(1, (t.Rate*seconds+t.Burst)/math.Max(offered, 1))
}

// totalDemand is the demand of all teams within their limits.
func totalDemand(p *Plan, r *recorder, from, to int, match func(countKey) bool) float64 {
	total := 0.0
	for _, t := range p.Teams {
		total += demandWithinLimit(t, r, from, to, match)
	}
	return total
}

// fairShares divides total, the requests that can be served, among the teams by
// max-min fairness. Important requests come first, as the system guarantees.
// Within a class every team gets its demand within its limit, up to an equal
// share; what teams with little demand leave goes to the others.
func fairShares(p *Plan, r *recorder, from, to int, total float64) map[string]float64 {
	result := map[string]float64{}
	for _, important := range []bool{true, false} {
		match := func(c countKey) bool { return c.important == important }
		teams := append([]Team(nil), p.Teams...)
		sort.Slice(teams, func(i, j int) bool {
			return demandWithinLimit(teams[i], r, from, to, match) < demandWithinLimit(teams[j], r, from, to, match)
		})
		for i, t := range teams {
			share := math.Min(demandWithinLimit(t, r, from, to, match), total/float64(len(teams)-i))
			result[t.Name] += share
			total -= share
		}
	}
	return result
}

// recoverySeconds is the time from the end of the last event, at last seconds,
// until goodput has recovered; see Report.RecoverySeconds.
func recoverySeconds(p *Plan, r *recorder, last float64) float64 {
	if len(p.Events) == 0 {
		return -1
	}
	for i := bucketIndex(last); i+recoveryBuckets < len(r.buckets); i++ {
		served, offered := sumCounts(r, i, i+recoveryBuckets, nil)
		if served >= recoveredShare*math.Min(offered, p.Capacity()*recoveryBuckets*bucketLength.Seconds()) {
			return float64(i)*bucketLength.Seconds() - last
		}
	}
	return math.Inf(1)
}

// wrongfulShare is the share of requests that were rejected or failed while no
// event was active or had just ended. It includes requests over a team's rate.
func wrongfulShare(p *Plan, r *recorder) float64 {
	rejected, offered := 0.0, 0.0
	for i := range r.buckets {
		second := float64(i) * bucketLength.Seconds()
		nearEvent := false
		for _, e := range p.Events {
			nearEvent = nearEvent || (second >= e.StartSecond && second < e.EndSecond+settlingSeconds)
		}
		if nearEvent {
			continue
		}
		_, offeredInBucket := sumCounts(r, i, i+1, nil)
		offered += offeredInBucket
		for _, count := range r.buckets[i] {
			rejected += count.Outcomes[RateLimited] + count.Outcomes[Shed] + count.Outcomes[Failed]
		}
	}
	return rejected / math.Max(offered, 1)
}

// Table writes reports as a table. A line below each report counts the rejections
// by reason, if there were any.
func Table(w io.Writer, reports []*Report) {
	fmt.Fprintf(w, "%-10s %-6s %8s %8s %6s %9s %8s %6s %-8s %8s %6s %8s %8s %8s\n",
		"NAME", "WAY", "BEST/s", "GOOD/s", "PART", "IMPORTANT", "RECOVER", "WORST", "TEAM", "WRONGFUL", "SENDS", "P50 ms", "P99 ms", "R99 ms")
	for _, r := range reports {
		fmt.Fprintf(w, "%-10s %-6s %8.0f %8.0f %6.3f %9.3f %7.1fs %6.3f %-8s %7.3f%% %6.2f %8.2f %8.2f %8.2f\n",
			r.Name, r.Mode, r.BestRate, r.Goodput, r.GoodputShare, r.ImportantShare, r.RecoverySeconds, r.WorstShare, r.WorstTeam, 100*r.WrongfulShare, r.SendsPerRequest, r.P50, r.P99, r.FailureP99)
		if len(r.Rejections) > 0 {
			fmt.Fprintf(w, "           refused: %v\n", r.Rejections)
		}
	}
}
