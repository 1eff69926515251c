package forwarder

import "time"

// objectiveWaitDivisor bounds the retry delay of a request over its team's rate to
// a quarter of its objective. Jitter can double the delay, which leaves at least
// half of the objective for serving the retry.
const objectiveWaitDivisor = 4

// capRateWait bounds the delay after which a caller retries, so that the answer can
// still arrive within the objective. A longer delay would not reduce the excess: a
// team over its rate is served at that rate whenever its callers retry, and late
// retries only miss the objective. Without an objective it returns wait unchanged.
func capRateWait(wait, objective time.Duration) time.Duration {
	if maxWait := objective / objectiveWaitDivisor; maxWait > 0 && wait > maxWait {
		return maxWait
	}
	return wait
}
