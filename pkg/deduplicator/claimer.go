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

// Replicas sends claim messages to replicas.
type Replicas interface {
	Claim(ctx context.Context, address string, r *control.ClaimRequest) (*control.ClaimReply, error)
	Settle(ctx context.Context, address string, r *control.SettleRequest) (*control.SettleReply, error)
}

const (
	// claimTimeout bounds the call that asks one replica for a claim.
	claimTimeout = 2 * time.Second
	// settleTimeout bounds the call that records an answer or releases a claim
	// on one replica.
	settleTimeout = 2 * time.Second
	// MaxBody is the longest answer body that is kept, in bytes.
	MaxBody = 64 << 10
	// maxClockSkew is how far the clock of a client may be ahead of ours.
	maxClockSkew = 5 * time.Minute
	// maxKeyLength bounds an idempotency key, in bytes.
	maxKeyLength = 255
)

// ClaimedError is returned when another attempt has claimed the key.
type ClaimedError struct {
	// Record is the record of that attempt.
	Record *control.Record
	// Differs is set when the key was claimed for a request with another digest.
	Differs bool
}

// Error implements error.
func (e *ClaimedError) Error() string { return "idempotency key was used before" }

// KeyError is returned for an idempotency key that is not accepted.
type KeyError struct{ Text string }

// Error implements error.
func (e *KeyError) Error() string { return "idempotency key " + e.Text }

// UnavailableError is returned when too few replicas granted the claim. The
// request has not run. Its key can be claimed again once the replicas that
// granted it have released it; a replica that misses the release rejects the
// key until the record expires.
type UnavailableError struct {
	Granted, Needed int
	Err             error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%d of %d replicas needed granted the key: %v", e.Granted, e.Needed, e.Err)
}

// Unwrap returns the last cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// Claimer claims idempotency keys on behalf of one node.
type Claimer struct {
	clock    timekeeper.Clock
	replicas Replicas
	// replicaSet returns the current epoch and its members.
	replicaSet func() (uint64, []*control.Member)
	// newAttemptID returns a unique name for an attempt.
	newAttemptID func() string
}

// NewClaimer returns a Claimer. newAttemptID must return a different name each
// time.
func NewClaimer(clock timekeeper.Clock, replicas Replicas, replicaSet func() (uint64, []*control.Member), newAttemptID func() string) *Claimer {
	return &Claimer{clock: clock, replicas: replicas, replicaSet: replicaSet, newAttemptID: newAttemptID}
}

// Claim is the right to run a request once.
type Claim struct {
	claimer *Claimer
	record  *control.Record
	epoch   uint64
	members []*control.Member
}

// ClaimName returns the name under which replicas record an idempotency key:
// a hash of the team, the service and the key.
func ClaimName(team, service, key string) []byte {
	sum := sha256.Sum256([]byte(team + "\x00" + service + "\x00" + key))
	return sum[:]
}

// CheckKey rejects keys of a wrong length, and UUIDs of version 7 whose time is
// too old or too far ahead. The record of an old key may have expired, so
// whether the key was used is unknown. The age limit is an hour below
// RetentionPeriod.
func CheckKey(key string, now time.Time) error {
	if key == "" || len(key) > maxKeyLength {
		return &KeyError{Text: fmt.Sprintf("has %d characters; 1 to %d would be right", len(key), maxKeyLength)}
	}
	created, ok := uuidTime(key)
	if !ok {
		return nil
	}
	if now.Sub(created) > RetentionPeriod-time.Hour {
		return &KeyError{Text: "is too old to know whether it was used; make a new one only if the request surely did not run"}
	}
	if created.Sub(now) > maxClockSkew {
		return &KeyError{Text: "is from the future; set the client's clock"}
	}
	return nil
}

// uuidTime returns the time in a UUID of version 7; false for any other key.
func uuidTime(key string) (time.Time, bool) {
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

// vote is one replica's reply to a claim.
type vote struct {
	reply *control.ClaimReply
	err   error
}

// claimCall asks one replica to grant a claim.
type claimCall struct {
	claim  *Claim
	member *control.Member
	votes  chan vote
}

func (c *claimCall) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, err := c.claim.claimer.replicas.Claim(ctx, c.member.Address, &control.ClaimRequest{
		Replica: c.member.Identity, Epoch: c.claim.epoch, Record: c.claim.record,
	})
	c.votes <- vote{reply: reply, err: err}
}

// Claim claims a key for a request with the given digest. Without a majority
// it releases the key and returns *ClaimedError or *UnavailableError, and the
// request must not run.
func (c *Claimer) Claim(ctx context.Context, name, digest []byte) (*Claim, error) {
	epoch, members := c.replicaSet()
	cl := &Claim{claimer: c, epoch: epoch, members: members, record: &control.Record{
		Key: name, Attempt: c.newAttemptID(), Time: c.clock.Now().UnixNano(), Digest: digest,
	}}
	votes := make(chan vote, len(members))
	for _, m := range members {
		call := &claimCall{claim: cl, member: m, votes: votes}
		go call.run(context.WithoutCancel(ctx))
	}
	granted, existing, err := cl.collectVotes(votes)
	needed := len(members)/2 + 1
	if granted >= needed {
		return cl, nil
	}
	cl.Release(ctx)
	if existing != nil {
		return nil, &ClaimedError{Record: existing, Differs: !sameDigest(existing.Digest, digest)}
	}
	return nil, &UnavailableError{Granted: granted, Needed: needed, Err: err}
}

// collectVotes receives votes until a majority has granted the claim, a record
// with an answer turns up or all replicas have voted. It returns the number of
// grants, the record of another attempt if any (one with an answer is
// preferred), and the last error.
func (cl *Claim) collectVotes(votes <-chan vote) (int, *control.Record, error) {
	granted := 0
	needed := len(cl.members)/2 + 1
	var existing *control.Record
	lastErr := errors.New("no replicas are known")
	for range cl.members {
		v := <-votes
		switch {
		case v.err != nil:
			lastErr = v.err
		case v.reply.Granted:
			granted++
		case v.reply.Record != nil:
			if existing == nil || v.reply.Record.Done {
				existing = v.reply.Record
			}
		default:
			lastErr = ErrNotVoting
		}
		if granted >= needed || (existing != nil && existing.Done) {
			break
		}
	}
	return granted, existing, lastErr
}

func sameDigest(a, b []byte) bool { return string(a) == string(b) }

// settleCall reports to one replica how a claim ended.
type settleCall struct {
	claim   *Claim
	member  *control.Member
	record  *control.Record
	release bool
	done    chan struct{}
}

func (c *settleCall) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	// A replica that misses this message keeps the claim and rejects the key
	// until the record expires, which is safe.
	_, _ = c.claim.claimer.replicas.Settle(ctx, c.member.Address, &control.SettleRequest{
		Replica: c.member.Identity, Record: c.record, Release: c.release,
	})
	c.done <- struct{}{}
}

// settle reports the end of the claim to all members and returns once a
// majority of the calls have ended, successfully or not.
func (cl *Claim) settle(ctx context.Context, record *control.Record, release bool) {
	done := make(chan struct{}, len(cl.members))
	for _, m := range cl.members {
		call := &settleCall{claim: cl, member: m, record: record, release: release, done: done}
		go call.run(context.WithoutCancel(ctx))
	}
	for range len(cl.members)/2 + 1 {
		if len(cl.members) > 0 {
			<-done
		}
	}
}

// Release frees the key. It may be called only when no byte of the request has
// gone to a target and the request will not run.
func (cl *Claim) Release(ctx context.Context) { cl.settle(ctx, cl.record, true) }

// Finish records the answer for later requests with the same key.
func (cl *Claim) Finish(ctx context.Context, answer *control.Answer) {
	cl.settle(ctx, &control.Record{
		Key: cl.record.Key, Attempt: cl.record.Attempt, Time: cl.record.Time,
		Digest: cl.record.Digest, Done: true, Answer: answer,
	}, false)
}
