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

// bucketLength is the length of the time buckets in which requests are counted.
const bucketLength = 100 * time.Millisecond

// Outcome is how one request of a caller ended, after its retries.
type Outcome int

// Values of Outcome.
const (
	// Served means a complete response of status 200 within the timeout.
	Served Outcome = iota
	// RateLimited means a rejection because of the team's rate (status 429).
	RateLimited
	// Shed means a rejection for lack of capacity (status 503).
	Shed
	// Failed means anything else, such as a timeout.
	Failed
	outcomeCount
)

// Count counts requests in one time bucket. A served request counts as such in
// the bucket of its response; arrivals and all other outcomes count in the
// bucket of the arrival.
type Count struct {
	Offered  float64               `json:"asked"`
	Outcomes [outcomeCount]float64 `json:"outcomes"`
}

// recorder collects the results that callers see.
type recorder struct {
	mu      sync.Mutex
	buckets []map[countKey]*Count
	// servedMicros holds the latencies of served requests in microseconds.
	servedMicros []int64
	// sends counts the requests sent, retries included.
	sends int
	// failedMicros holds the latencies of all requests that weren't served.
	failedMicros []int64
	// rejections counts responses other than 200 by their reason header,
	// retries included.
	rejections map[string]int
}

// countKey identifies a Count within a time bucket.
type countKey struct {
	team      string
	important bool
}

func newRecorder(d time.Duration) *recorder {
	r := &recorder{buckets: make([]map[countKey]*Count, int(d/bucketLength)+1), rejections: map[string]int{}}
	for i := range r.buckets {
		r.buckets[i] = map[countKey]*Count{}
	}
	return r
}

// add records the result of a request; at is its arrival, counted from the start of
// the load.
func (r *recorder) add(at time.Duration, key countKey, outcome Outcome, latency time.Duration, sends int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(at, key).Offered++
	if outcome == Served {
		at += latency
	}
	r.count(at, key).Outcomes[outcome]++
	r.sends += sends
	if outcome == Served {
		r.servedMicros = append(r.servedMicros, latency.Microseconds())
	} else {
		r.failedMicros = append(r.failedMicros, latency.Microseconds())
	}
}

// count returns the Count of a key at a time since the start of the load. Times
// after the end of the run belong to the last bucket.
func (r *recorder) count(at time.Duration, key countKey) *Count {
	counts := r.buckets[min(int(at/bucketLength), len(r.buckets)-1)]
	count, ok := counts[key]
	if !ok {
		count = &Count{}
		counts[key] = count
	}
	return count
}

func (r *recorder) addRejection(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rejections[reason]++
}

// generator starts the requests of one team in an open loop: at random times,
// without waiting for responses.
type generator struct {
	fleet       *fleet
	team        Team
	recorder    *recorder
	client      *http.Client
	random      *rand.Rand
	start       time.Time
	callersDone *sync.WaitGroup
	done        *sync.WaitGroup
}

func (g *generator) run(ctx context.Context) {
	defer g.done.Done()
	plan := g.fleet.plan
	end := time.Duration(plan.Seconds) * time.Second
	arrival := time.Duration(0)
	for {
		teamRate := plan.teamRate(g.team, arrival)
		arrival += time.Duration(g.random.ExpFloat64() / teamRate * float64(time.Second))
		if arrival >= end {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(g.start.Add(arrival))):
		}
		c := &caller{generator: g, arrival: arrival, important: g.random.Float64() < plan.ImportantShare, entry: g.random.IntN(len(g.fleet.entries))}
		g.callersDone.Add(1)
		go c.run(ctx)
	}
}

// caller sends one request and its retries.
type caller struct {
	generator *generator
	arrival   time.Duration
	important bool
	// entry is the index of the entry for the first attempt; each retry goes to
	// the next one.
	entry int
}

func (c *caller) run(ctx context.Context) {
	g := c.generator
	defer g.callersDone.Done()
	plan := g.fleet.plan
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
	g.recorder.add(c.arrival, countKey{g.team.Name, c.important}, outcome, time.Since(began), sends)
}

// send makes one attempt. The pause before it stands for the network round trip
// between the caller and its entry.
func (c *caller) send(ctx context.Context, attempt int) Outcome {
	g := c.generator
	if d := time.Duration(g.fleet.plan.RoundTripMillis) * time.Millisecond; d > 0 {
		time.Sleep(d)
	}
	entry := g.fleet.entries[(c.entry+attempt)%len(g.fleet.entries)]
	path := "/" + g.fleet.plan.Layers[0].Service
	if c.important {
		path = "/important" + path
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+path+"?id="+strconv.FormatInt(int64(c.arrival), 10), nil)
	if err != nil {
		return Failed
	}
	r.Header.Set("Authorization", "Bearer "+g.fleet.keys[g.team.Name])
	r.Header.Set("Primrose-Timeout", strconv.FormatInt(g.fleet.plan.Timeout, 10))
	response, err := g.client.Do(r)
	if err != nil {
		return Failed
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return Failed
	}
	if response.StatusCode != http.StatusOK {
		g.recorder.addRejection(response.Header.Get("Primrose-Reason"))
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

// eventRunner starts and ends one event of a plan. The generators themselves
// apply events that change the load.
type eventRunner struct {
	fleet *fleet
	event Event
	start time.Time
	done  *sync.WaitGroup
}

func (r *eventRunner) run(ctx context.Context) {
	defer r.done.Done()
	if !r.sleepUntil(ctx, r.event.StartSecond) {
		return
	}
	var stopped []*host
	switch r.event.Kind {
	case kindSlow:
		r.fleet.scaleServiceTime(r.event.Name, r.event.Factor)
	case kindAway:
		stopped = r.fleet.stopHalf(r.event.Name)
	}
	if !r.sleepUntil(ctx, r.event.EndSecond) {
		return
	}
	switch r.event.Kind {
	case kindSlow:
		r.fleet.scaleServiceTime(r.event.Name, 1)
	case kindAway:
		for _, h := range stopped {
			<-h.done
			if err := h.startTarget(ctx); err != nil && !errors.Is(err, context.Canceled) {
				return
			}
		}
	}
}

// sleepUntil waits for a second of the run; it returns false if ctx ends first.
func (r *eventRunner) sleepUntil(ctx context.Context, second float64) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(r.start.Add(time.Duration(second * float64(time.Second))))):
		return true
	}
}

// runLoad runs the load and the events of a plan against a fleet and waits for
// the last response.
func runLoad(ctx context.Context, f *fleet, seed uint64) *recorder {
	r := newRecorder(time.Duration(f.plan.Seconds) * time.Second)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2000, MaxIdleConns: 10000}}
	start := time.Now()
	var done, callersDone sync.WaitGroup
	for i, t := range f.plan.Teams {
		g := &generator{
			fleet: f, team: t, recorder: r, client: client, start: start, callersDone: &callersDone, done: &done,
			random: rand.New(rand.NewPCG(seed, uint64(i))),
		}
		done.Add(1)
		go g.run(ctx)
	}
	for _, e := range f.plan.Events {
		runner := &eventRunner{fleet: f, event: e, start: start, done: &done}
		done.Add(1)
		go runner.run(ctx)
	}
	done.Wait()
	callersDone.Wait()
	return r
}
