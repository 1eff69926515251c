package server

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// recordTimeout bounds the record of a departure: a target takes a report for lost if
	// it is not acknowledged within a second.
	recordTimeout = 700 * time.Millisecond
	// learnInterval is the pause between two rounds of questions for departures after the
	// start.
	learnInterval = 500 * time.Millisecond
	// learnTime is how long replicas that do not answer are asked, if a majority has.
	learnTime = 30 * time.Second
	// maxRecorded bounds the lives that are known to be recorded.
	maxRecorded = 64
)

// DepartureError reports that a departure is on the disks of too few replicas.
type DepartureError struct {
	Life string
	// Stored of the replicas have stored it, and Needed must.
	Stored, Needed int
}

// Error implements error.
func (e *DepartureError) Error() string {
	return fmt.Sprintf("the departure of %s is stored by %d of %d replicas needed", e.Life, e.Stored, e.Needed)
}

// departureRecorder records the departures of the own target at the replicas. It
// implements announcer.Recorder.
type departureRecorder struct {
	server *Server

	mu       sync.Mutex
	recorded []string
}

// Record returns once a majority of the replicas has synced the departure to disk, or a
// *DepartureError.
func (d *departureRecorder) Record(ctx context.Context, life string) error {
	if d.isRecorded(life) {
		return nil
	}
	s := d.server
	began := s.clock.Now()
	// The target may give up this call and repeat it: the record goes on.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	members := s.config.Current().Value().GetReplicas()
	needed := len(members)/2 + 1
	request := &control.DepartRequest{Departure: &control.Departure{Instance: s.settings.Instance, Life: life}}
	stored := countReplies(ctx, members, needed, func(ctx context.Context, m *control.Member) (*control.DepartReply, error) {
		return s.caller.Replica(m.Address).Depart(ctx, request)
	})
	s.log.Info("departure", "life", life, "stored", stored, "needed", needed, "took", s.clock.Now().Sub(began))
	if stored < needed {
		s.countEvent("departures_unrecorded", 1)
		return &DepartureError{Life: life, Stored: stored, Needed: needed}
	}
	d.markRecorded(life)
	return nil
}

func (d *departureRecorder) isRecorded(life string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.recorded {
		if r == life {
			return true
		}
	}
	return false
}

func (d *departureRecorder) markRecorded(life string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.recorded) >= maxRecorded {
		d.recorded = d.recorded[1:]
	}
	d.recorded = append(d.recorded, life)
}

// departureLearner asks the replicas, after the start of the node, which lives of the own
// target have left before it. The target is used meanwhile: after a loss of power all nodes
// would wait for their replicas otherwise.
type departureLearner struct {
	server *Server
	// answered holds the identities of the replicas that have answered.
	answered map[string]bool
}

// Run implements Controller.
func (l *departureLearner) Run(ctx context.Context) {
	l.answered = map[string]bool{}
	l.server.runUntil(ctx, learnInterval, l.step)
}

// step asks the replicas that have not answered, and reports whether none is left to ask.
func (l *departureLearner) step(ctx context.Context) (done bool) {
	s := l.server
	value := s.config.Current().Value()
	if value.GetVersion() == 0 {
		return false
	}
	var open []*control.Member
	for _, m := range value.Replicas {
		if !l.answered[m.Identity] {
			open = append(open, m)
		}
	}
	type answer struct {
		identity string
		lives    []string
	}
	answers := askAll(ctx, open, func(ctx context.Context, m *control.Member) (answer, error) {
		reply, err := s.caller.Replica(m.Address).Departures(ctx, &control.DeparturesRequest{Instance: s.settings.Instance})
		return answer{m.Identity, reply.GetLives()}, err
	})
	var lives []string
	for _, a := range answers {
		l.answered[a.identity] = true
		lives = append(lives, a.lives...)
		for _, life := range a.lives {
			s.announcer.LearnLeft(life)
		}
	}
	if len(lives) > 0 {
		s.log.Info("departures", "lives", lives, "answered", len(answers), "asked", len(open))
	}
	missing := len(open) - len(answers)
	return missing == 0 || missing <= (len(value.Replicas)-1)/2 && s.clock.Now().Sub(s.started) >= learnTime
}
