package forwarder

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/admitter"
	"github.com/primrosewall/primrosewall/pkg/connector"
	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/pkg/quarantiner"
	"github.com/primrosewall/primrosewall/pkg/retrier"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// played is a flight of a test: when it ended, and how.
type playedRequest struct {
	name        string
	startedAt   time.Duration
	ended       time.Duration
	deliveryEnd deliveryEnd
	life        string
}

// play runs flights and returns the requests noted for a crash of life "a".
func digestsAtCrash(at time.Duration, list []playedRequest) []string {
	var table inFlightTable
	start := time.Unix(100, 0)
	for i, p := range list {
		life := p.life
		if life == "" {
			life = "a"
		}
		r := &InFlightRequest{id: fmt.Sprint(i), hop: &control.Hop{Digest: []byte(p.name)}, life: life, startedAt: start.Add(p.startedAt)}
		table.add(r)
		if p.ended > 0 {
			r.deliveryEnd = p.deliveryEnd
			table.remove(r, start.Add(p.ended))
		}
	}
	var names []string
	for _, d := range table.requestsAtCrash("a", start.Add(at)).Digests {
		names = append(names, string(d))
	}
	return names
}

// TestCrashFoundLateNamesNobody breaks connections at a crash that is found four
// seconds later, when the next life of the target reports.
func TestLateCrashDetectionKeepsSuspects(t *testing.T) {
	names := digestsAtCrash(5*time.Second, []playedRequest{
		{name: "answered", ended: 900 * time.Millisecond, deliveryEnd: endAnswered},
		{name: "older", startedAt: 100 * time.Millisecond, ended: time.Second, deliveryEnd: endConnectionBroken},
		{name: "killer", startedAt: 990 * time.Millisecond, ended: time.Second, deliveryEnd: endConnectionBroken},
		{name: "other", ended: time.Second, deliveryEnd: endConnectionBroken, life: "b"},
	})
	qt.Assert(t, names, qt.DeepEquals, []string{"killer", "older"})
}

// TestCrashForgetsWhoseCallerLeft ends the crashing request by its caller's
// leaving, just before the crash is found.
func TestCrashKeepsRequestWhoseCallerLeft(t *testing.T) {
	names := digestsAtCrash(1200*time.Millisecond, []playedRequest{
		{name: "killer", startedAt: 990 * time.Millisecond, ended: time.Second, deliveryEnd: endUnanswered},
		{name: "running", startedAt: 500 * time.Millisecond},
	})
	qt.Assert(t, names, qt.DeepEquals, []string{"running", "killer"})
}

// TestFailureBeforeAnAnswerIsNoCause breaks a connection long before the last
// answer of the target that crashes.
func TestFailureBeforeLastAnswerIsNoSuspect(t *testing.T) {
	names := digestsAtCrash(20*time.Second, []playedRequest{
		{name: "reset", ended: time.Second, deliveryEnd: endConnectionBroken},
		{name: "answered", startedAt: 18 * time.Second, ended: 19 * time.Second, deliveryEnd: endAnswered},
		{name: "killer", startedAt: 19 * time.Second, ended: 19500 * time.Millisecond, deliveryEnd: endConnectionBroken},
	})
	qt.Assert(t, names, qt.DeepEquals, []string{"killer"})
}

// TestRefusedConnectionIsNoAnswer sends to a target that is gone, long after it
// crashed: that says nothing for the requests that it left.
func TestUnsentRequestIsNoAnswer(t *testing.T) {
	names := digestsAtCrash(6*time.Second, []playedRequest{
		{name: "killer", startedAt: 990 * time.Millisecond, ended: time.Second, deliveryEnd: endConnectionBroken},
		{name: "later", startedAt: 5 * time.Second, ended: 5 * time.Second, deliveryEnd: endNotSent},
	})
	qt.Assert(t, names, qt.DeepEquals, []string{"killer"})
}

// TestFailuresAreBounded keeps the newest failures.
func TestFailedRequestsAreBounded(t *testing.T) {
	var list []playedRequest
	for i := range 10 * maxFailedRequests {
		list = append(list, playedRequest{name: fmt.Sprint(i), ended: time.Second, deliveryEnd: endConnectionBroken})
	}
	list = append(list, playedRequest{name: "killer", startedAt: 990 * time.Millisecond, ended: time.Second, deliveryEnd: endConnectionBroken})
	names := digestsAtCrash(2*time.Second, list)
	qt.Assert(t, names[0], qt.Equals, "killer")
	qt.Assert(t, len(names) <= maxFailedRequests, qt.IsTrue)
}

// named returns the digest of a request, and the body that is sent on.
func digestAndBody(t *testing.T, host, body string, sized bool) (digest, sent string) {
	var reader io.Reader = strings.NewReader(body)
	if !sized {
		reader = io.MultiReader(reader)
	}
	x := &Exchange{writer: httptest.NewRecorder(), request: httptest.NewRequest(http.MethodPost, "/path", reader), route: &declarer.Route{Host: host}}
	qt.Assert(t, x.request.ContentLength >= 0, qt.Equals, sized)
	qt.Assert(t, x.bufferBody(), qt.IsNil)
	digest = string(x.digest("team"))
	out, _ := x.nextBody()
	raw, err := io.ReadAll(out)
	qt.Assert(t, err, qt.IsNil)
	return digest, string(raw)
}

// TestOtherRequestHasTheNameOfTheCrashingOne gives requests that differ in host
// or body names of their own, so that none of them clears another or is refused
// in its place.
func TestDifferentRequestsHaveDifferentDigests(t *testing.T) {
	long := strings.Repeat("x", maxReplayableBody)
	seen := map[string]string{}
	for _, host := range []string{"a.example", "b.example"} {
		for _, body := range []string{"one", "two", long, long + "y", long + "yz", "zzz" + long} {
			for _, sized := range []bool{true, false} {
				digest, sent := digestAndBody(t, host, body, sized)
				qt.Assert(t, sent, qt.Equals, body)
				what := fmt.Sprint(host, len(body), body[:1], body[len(body)-1:])
				if !sized && len(body) > maxReplayableBody {
					// The end of a long body of unknown length is not known.
					continue
				}
				if other, ok := seen[digest]; ok {
					qt.Assert(t, other, qt.Equals, what)
				}
				seen[digest] = what
			}
		}
	}
	qt.Assert(t, seen, qt.HasLen, 2*6)
	one, _ := digestAndBody(t, "a.example", "one"+long, false)
	two, _ := digestAndBody(t, "a.example", "two"+long, false)
	qt.Assert(t, one, qt.Not(qt.Equals), two)
}

// TestCrashingRequestTakesAnotherKey sends one request with two idempotency keys.
func TestDigestIgnoresIdempotencyKey(t *testing.T) {
	name := func(key string) []byte {
		x := &Exchange{writer: httptest.NewRecorder(), request: httptest.NewRequest(http.MethodPost, "/path", strings.NewReader("body"))}
		x.request.Header.Set(headerIdempotency, key)
		qt.Assert(t, x.bufferBody(), qt.IsNil)
		return x.digest("team")
	}
	qt.Assert(t, name("one"), qt.DeepEquals, name("two"))
}

// TestCrashingRequestIsSentAfterItsWait bars a request while it waits for a slot
// of the target.
func TestRequestQuarantinedWhileQueued(t *testing.T) {
	clock := timekeeper.BootTimeClock{}
	slots := admitter.New(clock, admitter.Static{})
	slots.SetSlots(1, -1)
	quarantine := quarantiner.New(clock, nil)
	f := New(Deps{
		Clock: clock, Log: slog.New(slog.DiscardHandler), Quarantine: quarantine, Admitter: slots, Dialect: Native{},
		Target:          func() *Target { return &Target{Service: "back", Address: "127.0.0.1:1", Life: "a", Slots: 1} },
		TargetConnector: connector.New(clock, connector.TargetIdleTimeout), CheckTarget: func(*Target) {},
	})
	first, err := slots.Admit(t.Context(), "team", 0)
	qt.Assert(t, err, qt.IsNil)
	recorder := httptest.NewRecorder()
	x := &Exchange{
		writer: recorder, request: httptest.NewRequest(http.MethodGet, "/path", nil), startedAt: clock.Now(), atTargetNode: true,
		hop: &control.Hop{Service: "back", Team: "team", Digest: []byte("0123456789abcdef")}, budget: retrier.NewBudget(0),
		deadline: clock.Now().Add(5 * time.Second), bufferedBody: []byte{},
	}
	h := &hopRun{forwarder: f, exchange: x, served: make(chan struct{})}
	go h.run()
	for slots.Load().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	quarantine.RecordCrash(1, [][]byte{x.hop.Digest})
	quarantine.RecordCrash(2, [][]byte{x.hop.Digest})
	first.Done(0, false)
	<-h.served
	qt.Assert(t, recorder.Code, qt.Equals, http.StatusUnprocessableEntity)
	qt.Assert(t, slots.Load().Inflight, qt.Equals, 0)
}

// hopRun serves one request between nodes.
type hopRun struct {
	forwarder *Forwarder
	exchange  *Exchange
	served    chan struct{}
}

func (h *hopRun) run() {
	h.forwarder.hop(h.exchange)
	close(h.served)
}
