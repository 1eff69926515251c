package forwarder

import (
	"errors"
	"net/http"
	"os"
)

// poisonFilter refuses requests that were present at two crashes of targets.
// On the entry node it also takes small bodies into memory, since the body is
// part of what names a request.
type quarantineFilter struct{ forwarder *Forwarder }

// Serve implements Filter.
func (q *quarantineFilter) Serve(x *Exchange, next func(*Exchange)) {
	if x.hop.Digest == nil {
		if err := x.bufferBody(); err != nil {
			x.refuse(bodyRefusal(err))
			return
		}
		x.hop.Digest = x.digest(x.hop.Team)
	}
	if q.forwarder.rejectQuarantined(x) {
		return
	}
	next(x)
}

// refusePoison refuses a request that was present at two crashes of targets.
func (f *Forwarder) rejectQuarantined(x *Exchange) bool {
	quarantined := f.deps.Quarantine.IsQuarantined(x.hop.Digest)
	if quarantined {
		x.refuse(refuse(http.StatusUnprocessableEntity, ReasonPoison, 0, "this request was running when targets crashed, more than once; it is refused"))
	}
	return quarantined
}

func bodyRefusal(err error) *Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuse(http.StatusRequestEntityTooLarge, ReasonRequest, 0, "the body is over %d bytes", tooLarge.Limit)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refuse(http.StatusRequestTimeout, ReasonRequest, 0, "the body made no progress for %v", stallTimeout)
	}
	return refuse(http.StatusBadRequest, ReasonRequest, 0, "the body ended early")
}
