package limiter

import (
	"sync"
	"time"

	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// leaseTerm is how long a witness's vote binds it.
	leaseTTL = 1500 * time.Millisecond
	// leaseDrift is taken off the term by the holder.
	maxLeaseDrift = 100 * time.Millisecond
	// renewPeriod is the time between two renewals by a holder.
	renewInterval = 400 * time.Millisecond
)

// vote is the lease that a witness has granted.
type vote struct {
	holder  string
	session uint64
	// opened is the last instance that was about to open buckets.
	openedBy string
	expiry   time.Time
	// version is the highest that any holder had.
	version uint64
}

// Witness votes for the holders of buckets. It remembers its votes only in
// memory, so after a start it abstains for one lease.
type Witness struct {
	clock timekeeper.Clock
	// version is what this instance has in force.
	version       func() uint64
	abstainsUntil time.Time

	mu    sync.Mutex
	votes map[string]*vote
}

// NewWitness makes a witness that abstains at first.
func NewWitness(clock timekeeper.Clock, version func() uint64) *Witness {
	return &Witness{clock: clock, version: version, abstainsUntil: clock.Now().Add(leaseTTL + maxLeaseDrift), votes: map[string]*vote{}}
}

// EndAbstention ends the abstention of a witness early: no lease is held that it may
// have voted for.
func (w *Witness) EndAbstention() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := w.clock.Now(); now.Before(w.abstainsUntil) {
		w.abstainsUntil = now
	}
}

// Abstains tells that the witness does not vote yet.
func (w *Witness) Abstains() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock.Now().Before(w.abstainsUntil)
}

// Vote grants a lease, or tells that it would, unless another holder has it, or the asker has an older
// configuration than a former holder had.
func (w *Witness) Vote(r *control.LeaseRequest) *control.LeaseReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	if own := w.version(); now.Before(w.abstainsUntil) || own == 0 || r.Version < own {
		return &control.LeaseReply{}
	}
	v, ok := w.votes[r.Name]
	if !ok {
		v = &vote{}
		w.votes[r.Name] = v
	}
	held := now.Before(v.expiry) && (v.holder != r.Instance || v.session != r.Session)
	if held || r.Version < v.version {
		return &control.LeaseReply{Holder: v.holder}
	}
	if r.Peek {
		return &control.LeaseReply{Granted: true}
	}
	v.holder, v.session, v.version = r.Instance, r.Session, r.Version
	v.expiry = now.Add(leaseTTL)
	reply := &control.LeaseReply{Granted: true, Holder: r.Instance, Former: v.openedBy}
	if r.Open {
		v.openedBy = r.Instance
	}
	return reply
}
