package limiter

import (
	"sync"
	"time"

	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

const (
	// leaseTTL is how long a witness is bound by its vote.
	leaseTTL = 1500 * time.Millisecond
	// maxLeaseDrift bounds the clock drift between a witness and a holder within
	// leaseTTL. The holder deducts it from the lease.
	maxLeaseDrift = 100 * time.Millisecond
	// renewInterval is the time between two renewals by a holder.
	renewInterval = 400 * time.Millisecond
)

// vote is the lease that a witness has granted.
type vote struct {
	holder  string
	session uint64
	// openedBy is the last instance that announced that it opens the buckets.
	openedBy string
	expiry   time.Time
	// version is the highest configuration version of any holder.
	version uint64
}

// Witness votes for the holders of leases. It keeps its votes only in memory, so
// after a start it abstains until a lease that it may have granted before has
// expired.
type Witness struct {
	clock timekeeper.Clock
	// version returns the version that this instance has in force.
	version       func() uint64
	abstainsUntil time.Time

	mu    sync.Mutex
	votes map[string]*vote
}

// NewWitness returns a witness that abstains at first.
func NewWitness(clock timekeeper.Clock, version func() uint64) *Witness {
	return &Witness{clock: clock, version: version, abstainsUntil: clock.Now().Add(leaseTTL + maxLeaseDrift), votes: map[string]*vote{}}
}

// EndAbstention ends the abstention early. The caller must know that no lease is
// held that this witness may have voted for.
func (w *Witness) EndAbstention() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := w.clock.Now(); now.Before(w.abstainsUntil) {
		w.abstainsUntil = now
	}
}

// Abstains reports whether the witness does not vote yet.
func (w *Witness) Abstains() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock.Now().Before(w.abstainsUntil)
}

// Vote grants a lease, or only reports that it would if the request is a peek. It
// denies the lease if another holder has it, or if the requesting instance has an
// older configuration than this instance or a former holder. Another run of the
// same instance's process counts as another holder. The witness votes for nobody
// while it abstains or has no configuration.
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
