package forwarder

import "time"

const (
	// startTime is how long after its start a node may be expected to become ready
	// and to know the targets of each service.
	startTime = 3 * time.Second
	// maxStartWait bounds how long a request waits for a starting node. A rejected
	// caller would return no earlier than after readyRetryDelay.
	maxStartWait = readyRetryDelay
	// startWaitDivisor bounds the wait to this part of the caller's timeout, so that
	// most of it remains for serving the request.
	startWaitDivisor = 4
	// startCheckInterval is how often a waiting request checks whether it may go on.
	startCheckInterval = 20 * time.Millisecond
)

// startWait returns how long a request still waits for a node that starts, by the
// time since the node's start, the time since the request arrived and the time from
// then until the caller's deadline.
func startWait(sinceStart, waited, timeout time.Duration) time.Duration {
	return max(0, min(startTime-sinceStart, min(timeout/startWaitDivisor, maxStartWait)-waited))
}

// awaitStart waits until done returns true. It returns false when the wait of the
// request for the start of the node is over, or the caller disconnects, before that.
func (f *Forwarder) awaitStart(x *Exchange, done func() bool) bool {
	clock := f.deps.Clock
	timeout := maxStartWait * startWaitDivisor
	if x.hasCallerTimeout {
		timeout = x.timeLeft(x.startedAt)
	}
	now := clock.Now()
	for end := now.Add(startWait(now.Sub(f.startedAt), now.Sub(x.startedAt), timeout)); now.Before(end); now = clock.Now() {
		select {
		case <-clock.After(startCheckInterval):
		case <-x.Context().Done():
			return false
		}
		if done() {
			return true
		}
	}
	return false
}
