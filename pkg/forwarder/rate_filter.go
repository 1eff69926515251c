package forwarder

import (
	"errors"
	"net/http"
	"time"

	"github.com/primrosewall/primrosewall/pkg/limiter"
)

// rateFilter takes one token of the team's rate limit for a root request. Calls
// take none, since the limit already counted their root request; nor do requests
// without a team, or of a team that is declared free of a limit.
type rateFilter struct{ forwarder *Forwarder }

// Serve implements Filter.
func (r *rateFilter) Serve(x *Exchange, next func(*Exchange)) {
	if x.hop.Call || x.hop.Team == "" || x.config.Declaration().Teams[x.hop.Team].Free {
		next(x)
		return
	}
	err := r.forwarder.deps.Limiter.Acquire(x.Context(), x.hop.Team)
	var rateErr *limiter.RateError
	switch {
	case err == nil:
		next(x)
	case errors.As(err, &rateErr) && rateErr.Unreachable:
		r.forwarder.count("refused_unreachable")
		x.refuse(refuse(http.StatusServiceUnavailable, ReasonContact, rateErr.Wait, "%v", rateErr))
	case errors.As(err, &rateErr):
		r.forwarder.count("refused_rate")
		wait := capRateWait(max(rateErr.Wait, time.Millisecond), time.Duration(x.hop.Objective)*time.Microsecond)
		x.refuse(refuse(http.StatusTooManyRequests, ReasonRate, wait, "%v", rateErr))
	default:
		x.refuse(callerGoneRefusal(NotRun))
	}
}
