package forwarder

import (
	"errors"
	"net/http"
	"os"
)

// poisonFilter refuses requests that were present at two crashes of targets.
// On the entry node it also takes small bodies into memory, since the body is
// part of what names a request.
type poisonFilter struct{ forwarder *Forwarder }

// Serve implements Filter.
func (p *poisonFilter) Serve(x *Exchange, next func(*Exchange)) {
	if x.hop.Digest == nil {
		if err := x.readSmall(); err != nil {
			x.refuse(refuseBody(err))
			return
		}
		x.hop.Digest = x.digest(x.hop.Team)
	}
	if p.forwarder.refusePoison(x) {
		return
	}
	next(x)
}

// refusePoison refuses a request that was present at two crashes of targets.
func (f *Forwarder) refusePoison(x *Exchange) bool {
	barred := f.deps.Quarantine.IsQuarantined(x.hop.Digest)
	if barred {
		x.refuse(refuse(http.StatusUnprocessableEntity, ReasonPoison, 0, "this request was running when targets crashed, more than once; it is refused"))
	}
	return barred
}

func refuseBody(err error) *Refusal {
	var long *http.MaxBytesError
	if errors.As(err, &long) {
		return refuse(http.StatusRequestEntityTooLarge, ReasonRequest, 0, "the body is over %d bytes", long.Limit)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refuse(http.StatusRequestTimeout, ReasonRequest, 0, "the body made no progress for %v", stallTime)
	}
	return refuse(http.StatusBadRequest, ReasonRequest, 0, "the body ended early")
}
