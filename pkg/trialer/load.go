package trialer

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// slice is the resolution of what is recorded over time.
const slice = 100 * time.Millisecond

// Outcome is how one request of a caller ended.
type Outcome int

// The outcomes.
const (
	// Served is a whole answer within the caller's timeout.
	Served Outcome = iota
	// RateLimited is a refusal because of the team's rate.
	RateLimited
	// Shed is a refusal for lack of room.
	Shed
	// Failed is anything else, such as a timeout.
	Failed
	outcomeCount
)

// Count is what happened to the requests of a team: what was asked and
// refused by the time of arrival, what was served by the time of the answer.
type Count struct {
	Asked    float64               `json:"asked"`
	Outcomes [outcomeCount]float64 `json:"outcomes"`
}

// record collects what callers see.
type record struct {
	mu     sync.Mutex
	slices []map[cell]*Count
	// answers holds the waiting times of served requests in microseconds.
	answers []int64
	// sends counts requests on the wire, retries included.
	sends int
	// refusals holds the times of all others.
	refusals []int64
	// reasons counts refusals on the wire by their reason.
	reasons map[string]int
}

// cell tells counts apart.
type cell struct {
	team      string
	important bool
}

func newRecord(d time.Duration) *record {
	r := &record{slices: make([]map[cell]*Count, int(d/slice)+1), reasons: map[string]int{}}
	for i := range r.slices {
		r.slices[i] = map[cell]*Count{}
	}
	return r
}

func (r *record) add(at time.Duration, c cell, o Outcome, took time.Duration, sends int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(at, c).Asked++
	if o == Served {
		at += took
	}
	r.count(at, c).Outcomes[o]++
	r.sends += sends
	if o == Served {
		r.answers = append(r.answers, took.Microseconds())
	} else {
		r.refusals = append(r.refusals, took.Microseconds())
	}
}

// count is the count of a cell at a time.
func (r *record) count(at time.Duration, c cell) *Count {
	cells := r.slices[min(int(at/slice), len(r.slices)-1)]
	count, ok := cells[c]
	if !ok {
		count = &Count{}
		cells[c] = count
	}
	return count
}

func (r *record) reason(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reasons[name]++
}

// source sends the requests of one team in an open loop.
type source struct {
	fleet   *fleet
	team    Team
	record  *record
	client  *http.Client
	random  *rand.Rand
	start   time.Time
	callers *sync.WaitGroup
	done    *sync.WaitGroup
}

func (s *source) run(ctx context.Context) {
	defer s.done.Done()
	plan := s.fleet.plan
	end := time.Duration(plan.Seconds) * time.Second
	at := time.Duration(0)
	for {
		rate := plan.rate(s.team, at)
		at += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
		if at >= end {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(s.start.Add(at))):
		}
		c := &caller{source: s, at: at, important: s.random.Float64() < plan.Important, entry: s.random.IntN(len(s.fleet.entries))}
		s.callers.Add(1)
		go c.run(ctx)
	}
}

// caller is one request with its retries.
type caller struct {
	source    *source
	at        time.Duration
	important bool
	entry     int
}

func (c *caller) run(ctx context.Context) {
	s := c.source
	defer s.callers.Done()
	plan := s.fleet.plan
	ctx, cancel := context.WithTimeout(ctx, time.Duration(plan.Timeout)*time.Millisecond)
	defer cancel()
	began := time.Now()
	outcome, sends := Failed, 0
	for sends <= plan.Retries && ctx.Err() == nil {
		outcome = c.send(ctx, sends)
		sends++
		if outcome == Served || outcome == RateLimited {
			break
		}
	}
	s.record.add(c.at, cell{s.team.Name, c.important}, outcome, time.Since(began), sends)
}

// send sends once. The distance between a caller and a entry is a pause.
func (c *caller) send(ctx context.Context, try int) Outcome {
	s := c.source
	if d := time.Duration(s.fleet.plan.Distance) * time.Millisecond; d > 0 {
		time.Sleep(d)
	}
	entry := s.fleet.entries[(c.entry+try)%len(s.fleet.entries)]
	path := "/" + s.fleet.plan.Layers[0].Service
	if c.important {
		path = "/important" + path
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+path+"?id="+strconv.FormatInt(int64(c.at), 10), nil)
	if err != nil {
		return Failed
	}
	r.Header.Set("Authorization", "Bearer "+s.fleet.keys[s.team.Name])
	r.Header.Set("Primrose-Timeout", strconv.FormatInt(s.fleet.plan.Timeout, 10))
	response, err := s.client.Do(r)
	if err != nil {
		return Failed
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return Failed
	}
	if response.StatusCode != http.StatusOK {
		s.record.reason(response.Header.Get("Primrose-Reason"))
	}
	switch response.StatusCode {
	case http.StatusOK:
		return Served
	case http.StatusTooManyRequests:
		return RateLimited
	case http.StatusServiceUnavailable:
		return Shed
	}
	return Failed
}

// conductor makes the events of a plan happen.
type conductor struct {
	fleet *fleet
	event Event
	start time.Time
	done  *sync.WaitGroup
}

func (c *conductor) run(ctx context.Context) {
	defer c.done.Done()
	if !c.sleepUntil(ctx, c.event.At) {
		return
	}
	var gone []*place
	switch c.event.Kind {
	case kindSlow:
		c.fleet.setTime(c.event.Name, c.event.Factor)
	case kindAway:
		gone = c.fleet.leave(c.event.Name)
	}
	if !c.sleepUntil(ctx, c.event.Until) {
		return
	}
	switch c.event.Kind {
	case kindSlow:
		c.fleet.setTime(c.event.Name, 1)
	case kindAway:
		for _, p := range gone {
			<-p.done
			if err := p.begin(ctx); err != nil && !errors.Is(err, context.Canceled) {
				return
			}
		}
	}
}

func (c *conductor) sleepUntil(ctx context.Context, second float64) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(c.start.Add(time.Duration(second * float64(time.Second))))):
		return true
	}
}

// drive runs the load of a plan against a fleet.
func drive(ctx context.Context, f *fleet, seed uint64) *record {
	r := newRecord(time.Duration(f.plan.Seconds) * time.Second)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2000, MaxIdleConns: 10000}}
	start := time.Now()
	var done, callers sync.WaitGroup
	for i, t := range f.plan.Teams {
		s := &source{
			fleet: f, team: t, record: r, client: client, start: start, callers: &callers, done: &done,
			random: rand.New(rand.NewPCG(seed, uint64(i))),
		}
		done.Add(1)
		go s.run(ctx)
	}
	for _, e := range f.plan.Events {
		c := &conductor{fleet: f, event: e, start: start, done: &done}
		done.Add(1)
		go c.run(ctx)
	}
	done.Wait()
	callers.Wait()
	return r
}
