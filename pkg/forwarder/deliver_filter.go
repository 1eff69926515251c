package forwarder

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/faulter"
	"github.com/primrosewall/primrosewall/pkg/router"
)

// deliverFilter hands an admitted request to the own target and passes its
// answer back.
type deliverFilter struct{ forwarder *Forwarder }

// hashes is the number of different hashes of root requests.
const hashes = 256

// Serve implements Filter.
func (d *deliverFilter) Serve(x *Exchange, _ func(*Exchange)) {
	f := d.forwarder
	ctx, cancel := context.WithCancelCause(x.Context())
	defer cancel(context.Canceled)
	flight := &Flight{ctx: ctx, id: f.newID(), hop: x.hop, budget: x.budget, deadline: x.deadline, began: d.now()}
	f.flights.add(flight)
	shed := false
	defer func() {
		f.flights.remove(flight)
		x.ticket.Done(flight.callTime(), shed)
	}()
	left := x.left(d.now())
	if x.streamed {
		left += streamAllowance
	}
	timer := time.AfterFunc(left, func() { cancel(errDeadline) })
	watch := &sent{}
	faulter.Reach(faulter.HopDelivering)
	response, err := f.deps.TargetLink.RoundTrip(d.request(watch.watch(ctx), x, flight))
	timer.Stop()
	if err != nil {
		shed = errors.Is(context.Cause(ctx), errDeadline)
		d.fail(x, watch, context.Cause(ctx), flight)
		return
	}
	faulter.Reach(faulter.HopAnswered)
	shed = effectOf(response.StatusCode) == router.Shed && !flight.hadRefusal()
	d.pass(x, flight, response, cancel)
}

func (d *deliverFilter) now() time.Time { return d.forwarder.deps.Clock.Now() }

func (d *deliverFilter) request(ctx context.Context, x *Exchange, flight *Flight) *http.Request {
	body, length := x.nextBody()
	header := x.request.Header.Clone()
	header.Del("Expect")
	header.Set(HeaderCall, flight.id)
	header.Set(HeaderTimeout, strconv.FormatInt(millisecondsUp(x.left(d.now())), 10))
	header.Set("Primrose-Team", x.hop.Team)
	r := &http.Request{
		Method: x.request.Method, Host: x.request.Host, Header: header, Body: body, ContentLength: length,
		URL:   &url.URL{Scheme: "http", Host: x.target.Address, Path: x.request.URL.Path, RawPath: x.request.URL.RawPath, RawQuery: x.request.URL.RawQuery},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	once(r)
	return r.WithContext(ctx)
}

// fail answers for a target that did not, and looks whether it has crashed.
func (d *deliverFilter) fail(x *Exchange, watch *sent, cause error, flight *Flight) {
	f := d.forwarder
	setLevel(x, f.deps.Admitter.Level(), flight.heardLevel())
	switch {
	case !watch.any() && errors.Is(cause, errDeadline):
		x.refuse(refuse(http.StatusGatewayTimeout, ReasonDeadline, 0, "the deadline passed before the request was sent"))
	case !watch.any():
		f.deps.Suspect(x.target)
		x.refuse(refuse(http.StatusServiceUnavailable, ReasonTarget, noTargetWait, "the target cannot be reached"))
	case errors.Is(cause, errDeadline):
		x.refuse(lost(http.StatusGatewayTimeout, "the deadline passed before the answer came"))
	case x.Context().Err() != nil:
		// The caller has gone away; nobody hears this.
		x.refuse(lost(http.StatusBadGateway, "the caller went away"))
	default:
		f.flights.broke(x.hop.Digest, d.now())
		f.deps.Suspect(x.target)
		x.refuse(lost(http.StatusBadGateway, "the target's connection broke before the answer came"))
	}
}

// pass sends the answer back with what the nodes upstream need to know.
func (d *deliverFilter) pass(x *Exchange, flight *Flight, r *http.Response, cancel context.CancelCauseFunc) {
	f := d.forwarder
	removeOwn(r.Header)
	answer, err := readAnswer(r)
	if err != nil {
		f.flights.broke(x.hop.Digest, d.now())
		f.deps.Suspect(x.target)
		x.refuse(lost(http.StatusBadGateway, "the target's answer ended early"))
		return
	}
	answer.abort = func() { cancel(context.Canceled) }
	x.setRetries()
	setLevel(x, f.deps.Admitter.Level(), flight.heardLevel())
	answer.write(x)
	f.deps.Completed(x.hop.Digest)
}

// setRetries gives the unused part of the retries back with the answer.
func (x *Exchange) setRetries() {
	x.writer.Header().Set(headerRetries, strconv.FormatUint(uint64(x.budget.Close()), 10))
}

// setLevel sets the header that tells the node before this one how many
// hashes out of 256 are refused for requests like this one, here or below.
func setLevel(x *Exchange, own admitter.Priority, below int) {
	base := admitter.NewPriority(x.hop.Important, x.hop.Depth > 0, 0)
	level := min(max(int(own)-int(base), below, 0), hashes)
	x.writer.Header().Set(headerLevel, strconv.Itoa(level))
}
