package forwarder

import "time"

// returnPart is the part of a request's objective after which a caller that was
// refused for its team's rate may come back, at the earliest: the answer is
// spread up to twice that, which leaves half of the objective to be served in.
const objectiveWaitDivisor = 4

// returnWait bounds the time until a caller comes back, so that an answer can
// still have its full use. A team that is over its rate can be served no more
// than the rate whenever callers return, so later returns only come too late.
func capRateWait(wait, objective time.Duration) time.Duration {
	if maxWait := objective / objectiveWaitDivisor; maxWait > 0 && wait > maxWait {
		return maxWait
	}
	return wait
}
