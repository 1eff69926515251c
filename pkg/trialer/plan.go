package trialer

import (
	"time"

	"github.com/primrosewall/primrosewall/pkg/decoder"
)

// Plan describes an experiment.
type Plan struct {
	Name string `json:"name"`
	// Layers are the services of the chain, the entry first.
	Layers []Layer `json:"layers"`
	// Teams share the load.
	Teams []Team `json:"teams"`
	// Seconds of load, and Rate in requests per second before the surge.
	Seconds int     `json:"seconds"`
	Rate    float64 `json:"rate"`
	// Important is the part of the requests that is important, 0 to 1.
	Important float64 `json:"important"`
	// Timeout of a caller in milliseconds.
	Timeout int64 `json:"timeout"`
	// Retries of a caller that retries hard, at once after a failure.
	Retries int `json:"retries"`
	// Events happen during the run.
	Events []Event `json:"events"`
	// Distance in milliseconds is the time from a caller to a entry and back.
	Distance int64 `json:"distance"`
	// Rule finds the limits of the targets; empty is the daemon's default.
	Rule string `json:"rule"`
}

// Layer is one service of the chain.
type Layer struct {
	Service string `json:"service"`
	// Targets is the number of servers, Slots of each.
	Targets int `json:"targets"`
	Slots   int `json:"slots"`
	// Time in milliseconds that a request takes, without its calls.
	Time float64 `json:"time"`
	// Cold in milliseconds is for how long a new target is slow.
	Cold int64 `json:"cold"`
}

// Team is one tenant.
type Team struct {
	Name string `json:"name"`
	// Weight is its part of the load, relative to the others.
	Weight float64 `json:"weight"`
	// Rate and Burst are its limit.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// Event changes something at a time of the run.
type Event struct {
	// At and Until are seconds since the start.
	At    float64 `json:"at"`
	Until float64 `json:"until"`
	// Kind is surge, slow, team or away.
	Kind string `json:"kind"`
	// Name of the service or team that it is about.
	Name string `json:"name"`
	// Factor multiplies the load, the service time or the team's load.
	Factor float64 `json:"factor"`
}

// The kinds of events.
const (
	kindSurge = "surge"
	kindSlow  = "slow"
	kindTeam  = "team"
	kindAway  = "away"
)

// Parse reads a plan.
func Parse(file string, source []byte) (*Plan, error) {
	p := &Plan{}
	d, err := decoder.Decode(file, source, p)
	if err != nil {
		return nil, err
	}
	switch {
	case len(p.Layers) == 0:
		return nil, d.Problem("layers", "is empty; at least one service would be right")
	case len(p.Teams) == 0:
		return nil, d.Problem("teams", "is empty; at least one team would be right")
	case p.Seconds < 1 || p.Seconds > 600:
		return nil, d.Problem("seconds", "is %d; 1 to 600 would be right", p.Seconds)
	case p.Rate <= 0 || p.Rate > 100_000:
		return nil, d.Problem("rate", "is %v; up to 100000 requests per second would be right", p.Rate)
	case p.Timeout <= 0:
		return nil, d.Problem("timeout", "is %d; milliseconds over 0 would be right", p.Timeout)
	}
	for _, e := range p.Events {
		switch e.Kind {
		case kindSurge, kindSlow, kindTeam, kindAway:
		default:
			return nil, d.Problem("events", "kind %q is not known; surge, slow, team or away would be right", e.Kind)
		}
	}
	return p, nil
}

// Capacity is the most whole requests per second that the slots allow, by the
// narrowest service. A request holds a slot for its own time and that of the
// services below.
func (p *Plan) Capacity() float64 {
	best := 0.0
	below := 0.0
	for i := len(p.Layers) - 1; i >= 0; i-- {
		l := p.Layers[i]
		below += l.Time / 1000
		if below == 0 {
			continue
		}
		capacity := float64(l.Targets*l.Slots) / below
		if best == 0 || capacity < best {
			best = capacity
		}
	}
	if best == 0 {
		return unlimited
	}
	return best
}

// unlimited stands for the capacity of targets that take no time.
const unlimited = 1e9

// rate is the load of a team at a time, in requests per second.
func (p *Plan) rate(t Team, at time.Duration) float64 {
	total := 0.0
	for _, other := range p.Teams {
		total += other.Weight
	}
	rate := p.Rate * t.Weight / total
	for _, e := range p.Events {
		if !e.running(at) {
			continue
		}
		if e.Kind == kindSurge || (e.Kind == kindTeam && e.Name == t.Name) {
			rate *= e.Factor
		}
	}
	return rate
}

func (e *Event) running(at time.Duration) bool {
	return at.Seconds() >= e.At && at.Seconds() < e.Until
}

// lastEvent is when the last event ends.
func (p *Plan) lastEvent() float64 {
	last := 0.0
	for _, e := range p.Events {
		last = max(last, e.Until)
	}
	return last
}

// firstEvent is when the first event begins.
func (p *Plan) firstEvent() float64 {
	first := float64(p.Seconds)
	for _, e := range p.Events {
		first = min(first, e.At)
	}
	return first
}
