package deduplicator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// Replicas carries messages to the replicas of the set in force.
type Replicas interface {
	Claim(ctx context.Context, address string, r *control.ClaimRequest) (*control.ClaimReply, error)
	Settle(ctx context.Context, address string, r *control.SettleRequest) (*control.SettleReply, error)
}

const (
	// claimTimeout bounds a claim.
	claimTimeout = 2 * time.Second
	// settleTimeout bounds the record of an answer.
	settleTimeout = 2 * time.Second
	// MaxBody is the longest answer body that is kept.
	MaxBody = 64 << 10
	// keySkew is what the clock of a client may be ahead.
	keySkew = 5 * time.Minute
	// maxKey is the longest idempotency key.
	maxKey = 255
)

// ClaimedError says that the key was claimed before.
type ClaimedError struct {
	Record *control.Record
	// Differs tells that the key came with another request.
	Differs bool
}

// Error implements error.
func (e *ClaimedError) Error() string { return "idempotency key was used before" }

// KeyError says that the key cannot be taken.
type KeyError struct{ Text string }

// Error implements error.
func (e *KeyError) Error() string { return "idempotency key " + e.Text }

// UnavailableError says that too few replicas answered; the request has not
// been run, and its key is free again or will stay refused.
type UnavailableError struct {
	Granted, Needed int
	Err             error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%d of %d replicas needed granted the key: %v", e.Granted, e.Needed, e.Err)
}

// Unwrap gives one of the causes.
func (e *UnavailableError) Unwrap() error { return e.Err }

// Claimer claims keys on one node.
type Claimer struct {
	clock    timekeeper.Clock
	replicas Replicas
	// set returns the epoch and members in force.
	set func() (uint64, []*control.Member)
	// newAttempt names an attempt; no two have the same name.
	newAttempt func() string
}

// NewClaimer makes a claimer.
func NewClaimer(clock timekeeper.Clock, replicas Replicas, set func() (uint64, []*control.Member), newAttempt func() string) *Claimer {
	return &Claimer{clock: clock, replicas: replicas, set: set, newAttempt: newAttempt}
}

// Claim is the right to run a request once.
type Claim struct {
	claimer *Claimer
	record  *control.Record
	epoch   uint64
	members []*control.Member
}

// ClaimName scopes an idempotency key to its team and service.
func ClaimName(team, service, key string) []byte {
	sum := sha256.Sum256([]byte(team + "\x00" + service + "\x00" + key))
	return sum[:]
}

// CheckKey refuses keys that cannot be told apart from expired ones.
func CheckKey(key string, now time.Time) error {
	if key == "" || len(key) > maxKey {
		return &KeyError{Text: fmt.Sprintf("has %d characters; 1 to %d would be right", len(key), maxKey)}
	}
	made, ok := timeOfKey(key)
	if !ok {
		return nil
	}
	if now.Sub(made) > RetentionPeriod-time.Hour {
		return &KeyError{Text: "is too old to know whether it was used; make a new one only if the request surely did not run"}
	}
	if made.Sub(now) > keySkew {
		return &KeyError{Text: "is from the future; set the client's clock"}
	}
	return nil
}

// timeOfKey reads the time out of a UUID of version 7.
func timeOfKey(key string) (time.Time, bool) {
	text := strings.Trim(key, `"`)
	if len(text) != 36 || text[14] != '7' {
		return time.Time{}, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(text, "-", ""))
	if err != nil || len(raw) != 16 {
		return time.Time{}, false
	}
	ms := int64(0)
	for _, b := range raw[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// vote is one replica's answer to a claim.
type vote struct {
	reply *control.ClaimReply
	err   error
}

// asker asks one replica for its vote.
type asker struct {
	claim  *Claim
	member *control.Member
	votes  chan vote
}

func (a *asker) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, err := a.claim.claimer.replicas.Claim(ctx, a.member.Address, &control.ClaimRequest{
		Replica: a.member.Identity, Epoch: a.claim.epoch, Record: a.claim.record,
	})
	a.votes <- vote{reply: reply, err: err}
}

// Claim claims a key. Without a majority it gives the key up again and returns
// *ClaimedError or *UnavailableError: the request must not run.
func (c *Claimer) Claim(ctx context.Context, name, digest []byte) (*Claim, error) {
	epoch, members := c.set()
	cl := &Claim{claimer: c, epoch: epoch, members: members, record: &control.Record{
		Key: name, Attempt: c.newAttempt(), Time: c.clock.Now().UnixNano(), Digest: digest,
	}}
	votes := make(chan vote, len(members))
	for _, m := range members {
		a := &asker{claim: cl, member: m, votes: votes}
		go a.run(context.WithoutCancel(ctx))
	}
	granted, standing, err := cl.count(votes)
	needed := len(members)/2 + 1
	if granted >= needed {
		return cl, nil
	}
	cl.Release(ctx)
	if standing != nil {
		return nil, &ClaimedError{Record: standing, Differs: !sameDigest(standing.Digest, digest)}
	}
	return nil, &UnavailableError{Granted: granted, Needed: needed, Err: err}
}

// count takes votes until the claim is decided. The record with an answer is
// preferred among those that stand in the way.
func (cl *Claim) count(votes <-chan vote) (int, *control.Record, error) {
	granted := 0
	needed := len(cl.members)/2 + 1
	var standing *control.Record
	lastErr := errors.New("no replicas are known")
	for range cl.members {
		v := <-votes
		switch {
		case v.err != nil:
			lastErr = v.err
		case v.reply.Granted:
			granted++
		case v.reply.Record != nil:
			if standing == nil || v.reply.Record.Done {
				standing = v.reply.Record
			}
		default:
			lastErr = ErrNotVoting
		}
		if granted >= needed || (standing != nil && standing.Done) {
			break
		}
	}
	return granted, standing, lastErr
}

func sameDigest(a, b []byte) bool { return string(a) == string(b) }

// settler tells one replica how a claim ended.
type settler struct {
	claim   *Claim
	member  *control.Member
	record  *control.Record
	release bool
	done    chan struct{}
}

func (s *settler) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	// A replica that misses this keeps the claim: the key stays refused there,
	// which is safe.
	_, _ = s.claim.claimer.replicas.Settle(ctx, s.member.Address, &control.SettleRequest{
		Replica: s.member.Identity, Record: s.record, Release: s.release,
	})
	s.done <- struct{}{}
}

func (cl *Claim) settle(ctx context.Context, record *control.Record, release bool) {
	done := make(chan struct{}, len(cl.members))
	for _, m := range cl.members {
		s := &settler{claim: cl, member: m, record: record, release: release, done: done}
		go s.run(context.WithoutCancel(ctx))
	}
	for range len(cl.members)/2 + 1 {
		if len(cl.members) > 0 {
			<-done
		}
	}
}

// Release gives the key up; only for a request of which no byte has gone to a
// target, and which will not be run.
func (cl *Claim) Release(ctx context.Context) { cl.settle(ctx, cl.record, true) }

// Finish records the answer for later senders.
func (cl *Claim) Finish(ctx context.Context, answer *control.Answer) {
	cl.settle(ctx, &control.Record{
		Key: cl.record.Key, Attempt: cl.record.Attempt, Time: cl.record.Time,
		Digest: cl.record.Digest, Done: true, Answer: answer,
	}, false)
}
