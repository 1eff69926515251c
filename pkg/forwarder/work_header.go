package forwarder

import (
	"strconv"
	"strings"
	"time"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/router"
)

// setWorkHeader tells the entry node what the target has to do for all nodes without
// this request, and how long this node had the request, so that the entry node can
// tell the time in the network from it.
func (f *Forwarder) setWorkHeader(x *Exchange) {
	if !f.deps.ReportWork {
		return
	}
	w := f.deps.Admitter.Work()
	if x.ticket != nil {
		w.Running--
	}
	x.writer.Header().Set(headerWork, workText(w, f.deps.Clock.Now().Sub(x.startedAt)))
}

// workText returns the value of headerWork: the numbers of running and of queued
// requests, the limit, the mean time in the target, and the time that this request
// spent at the target's node, both in microseconds. It allocates only the text.
func workText(w admitter.Work, spent time.Duration) string {
	var buffer [64]byte
	text := strconv.AppendInt(buffer[:0], int64(w.Running), 10)
	for _, n := range [...]int64{int64(w.Queued), int64(w.Limit), w.Time.Microseconds(), spent.Microseconds()} {
		text = strconv.AppendInt(append(text, ','), n, 10)
	}
	return string(text)
}

// readWork reads what workText wrote. Further numbers, which a later version may add,
// are ignored.
func readWork(text string) (w router.Work, ok bool) {
	var numbers [5]int64
	for i := range numbers {
		field, rest, _ := strings.Cut(text, ",")
		n, err := strconv.ParseUint(field, 10, 32)
		if err != nil {
			return w, false
		}
		numbers[i], text = int64(n), rest
	}
	return router.Work{
		Running: int(numbers[0]), Queued: int(numbers[1]), Limit: int(numbers[2]),
		Time: time.Duration(numbers[3]) * time.Microsecond, Spent: time.Duration(numbers[4]) * time.Microsecond,
	}, true
}

// leftEvent names the event that a request leaves its data centre for a cause. The
// names are constants, so that counting builds no text.
func leftEvent(c router.Cause) string {
	switch c {
	case router.CauseFull:
		return "left_full"
	case router.CauseGain:
		return "left_gain"
	case router.CauseProbe:
		return "left_probe"
	}
	return "left_absent"
}
