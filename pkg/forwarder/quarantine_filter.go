package forwarder

import (
	"errors"
	"net/http"
	"os"
)

// quarantineFilter rejects quarantined requests: those that were running at two
// crashes of targets. On the entry node it also buffers short bodies and computes
// the request's digest, which covers the body.
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

// rejectQuarantined rejects the request if it is quarantined, and reports whether
// it did.
func (f *Forwarder) rejectQuarantined(x *Exchange) bool {
	quarantined := f.deps.Quarantine.IsQuarantined(x.hop.Digest)
	if quarantined {
		x.refuse(refuse(http.StatusUnprocessableEntity, ReasonPoison, 0, "this request was running when targets crashed, more than once; it is refused"))
	}
	return quarantined
}

// bodyRefusal returns the refusal for a body that could not be read.
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
