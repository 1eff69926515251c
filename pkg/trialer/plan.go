package trialer

import (
	"time"

	"github.com/primrosewall/primrosewall/pkg/decoder"
)

// Plan describes an experiment.
type Plan struct {
	Name string `json:"name"`
	// Layers are the services of the call chain. Callers call the first one,
	// and each service calls the next.
	Layers []Layer `json:"layers"`
	// Teams are the tenants whose requests make up the load.
	Teams []Team `json:"teams"`
	// Seconds is the duration of the load.
	Seconds int `json:"seconds"`
	// Rate is the load of all teams together, in requests per second, while no
	// event changes it.
	Rate float64 `json:"rate"`
	// ImportantShare is the share of requests sent as important, 0 to 1.
	ImportantShare float64 `json:"important"`
	// Timeout is how long a caller waits, with all its retries, in
	// milliseconds. The routes get the same timeout.
	Timeout int64 `json:"timeout"`
	// Retries is how often a caller sends a request again, without backoff,
	// after any outcome other than success or a rate limit. In ModeBare it is
	// also how often a target repeats a failed call.
	Retries int `json:"retries"`
	// Events change the load or the targets during the run.
	Events []Event `json:"events"`
	// RoundTripMillis is the network round trip between a caller and its entry
	// node, in milliseconds. The caller waits that long before each send.
	RoundTripMillis int64 `json:"distance"`
	// Rule names the algorithm by which nodes set the concurrency limits of
	// their targets. If empty, the daemon's default applies.
	Rule string `json:"rule"`
}

// Layer is one service of the call chain.
type Layer struct {
	Service string `json:"service"`
	// Targets is the number of target processes; each runs up to Slots
	// requests at once.
	Targets int `json:"targets"`
	Slots   int `json:"slots"`
	// ServiceTime is how long a request takes without its call to the next
	// service, in milliseconds.
	ServiceTime float64 `json:"time"`
	// ColdTime is how long a target is slow after its start, in milliseconds.
	ColdTime int64 `json:"cold"`
}

// Team is one tenant with its load and its limit.
type Team struct {
	Name string `json:"name"`
	// Weight is its share of the load, relative to the weights of the others.
	Weight float64 `json:"weight"`
	// Rate and Burst are its rate limit, in requests per second and requests.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// Event changes the load or the targets for a part of the run.
type Event struct {
	// The event lasts from StartSecond to EndSecond, in seconds since the
	// start of the load.
	StartSecond float64 `json:"at"`
	EndSecond   float64 `json:"until"`
	// Kind is surge (more load of all teams), slow (longer service time), team
	// (more load of one team) or away (half of a service's targets stop).
	Kind string `json:"kind"`
	// Name of the service (slow, away) or team (team) that it changes.
	Name string `json:"name"`
	// Factor multiplies the load (surge, team) or the service time (slow).
	Factor float64 `json:"factor"`
}

// Values of Event.Kind.
const (
	kindSurge = "surge"
	kindSlow  = "slow"
	kindTeam  = "team"
	kindAway  = "away"
)

// Parse reads and checks a plan. File is the name that errors show.
func Parse(file string, source []byte) (*Plan, error) {
	p := &Plan{}
	d, err := decoder.Decode(file, source, p)
	if err != nil {
		return nil, err
	}
	switch {
	case len(p.Layers) == 0:
		return nil, d.Problem("layers", "is empty; must name at least one service")
	case len(p.Teams) == 0:
		return nil, d.Problem("teams", "is empty; must name at least one team")
	case p.Seconds < 1 || p.Seconds > 600:
		return nil, d.Problem("seconds", "is %d; must be 1 to 600", p.Seconds)
	case p.Rate <= 0 || p.Rate > 100_000:
		return nil, d.Problem("rate", "is %v; must be above 0 and at most 100000 requests per second", p.Rate)
	case p.Timeout <= 0:
		return nil, d.Problem("timeout", "is %d; must be a number of milliseconds above 0", p.Timeout)
	}
	for _, e := range p.Events {
		switch e.Kind {
		case kindSurge, kindSlow, kindTeam, kindAway:
		default:
			return nil, d.Problem("events", "unknown kind %q; must be surge, slow, team or away", e.Kind)
		}
	}
	return p, nil
}

// Capacity is the highest rate of requests through the whole chain that the
// slots allow, per second: that of the service with the lowest capacity. At
// each service a request holds a slot for its own service time and for the
// time of the services that it calls.
func (p *Plan) Capacity() float64 {
	lowest := 0.0
	holdSeconds := 0.0
	for i := len(p.Layers) - 1; i >= 0; i-- {
		l := p.Layers[i]
		holdSeconds += l.ServiceTime / 1000
		if holdSeconds == 0 {
			continue
		}
		capacity := float64(l.Targets*l.Slots) / holdSeconds
		if lowest == 0 || capacity < lowest {
			lowest = capacity
		}
	}
	if lowest == 0 {
		return unlimitedCapacity
	}
	return lowest
}

// unlimitedCapacity is returned for targets with a service time of 0.
const unlimitedCapacity = 1e9

// teamRate is the load of a team at a time of the run, in requests per second.
func (p *Plan) teamRate(t Team, at time.Duration) float64 {
	total := 0.0
	for _, other := range p.Teams {
		total += other.Weight
	}
	teamRate := p.Rate * t.Weight / total
	for _, e := range p.Events {
		if !e.activeAt(at) {
			continue
		}
		if e.Kind == kindSurge || (e.Kind == kindTeam && e.Name == t.Name) {
			teamRate *= e.Factor
		}
	}
	return teamRate
}

func (e *Event) activeAt(at time.Duration) bool {
	return at.Seconds() >= e.StartSecond && at.Seconds() < e.EndSecond
}

// lastEventEnd is the second at which the last event ends, or 0 without events.
func (p *Plan) lastEventEnd() float64 {
	last := 0.0
	for _, e := range p.Events {
		last = max(last, e.EndSecond)
	}
	return last
}

// firstEventStart is the second at which the first event begins, or the end of
// the run without events.
func (p *Plan) firstEventStart() float64 {
	first := float64(p.Seconds)
	for _, e := range p.Events {
		first = min(first, e.StartSecond)
	}
	return first
}
