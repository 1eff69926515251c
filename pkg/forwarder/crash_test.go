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

// playedRequest is a request in a test: when it started and ended, as the time since
// the start of the test, and how. It is still running if ended is 0; an empty life
// stands for "a".
type playedRequest struct {
	name        string
	startedAt   time.Duration
	endedAt     time.Duration
	deliveryEnd deliveryEnd
	life        string
}

// digestsAtCrash replays requests and returns those that are reported for a crash of
// life "a" that is detected at the given time.
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
		if p.endedAt > 0 {
			r.deliveryEnd = p.deliveryEnd
			table.remove(r, start.Add(p.endedAt))
		}
	}
	var digests []string
	for _, d := range table.requestsAtCrash("a", start.Add(at)).Digests {
		digests = append(digests, string(d))
	}
	return digests
}

// TestLateCrashDetectionKeepsSuspects guards against a crash for which no request is
// reported because it is detected late: the connections break four seconds earlier,
// and only the next life of the target reveals the crash.
func TestLateCrashDetectionKeepsSuspects(t *testing.T) {
	names := digestsAtCrash(5*time.Second, []playedRequest{
		{name: "answered", endedAt: 900 * time.Millisecond, deliveryEnd: endAnswered},
		{name: "older", startedAt: 100 * time.Millisecond, endedAt: time.Second, deliveryEnd: endConnectionBroken},
		{name: "killer", startedAt: 990 * time.Millisecond, endedAt: time.Second, deliveryEnd: endConnectionBroken},
		{name: "other", endedAt: time.Second, deliveryEnd: endConnectionBroken, life: "b"},
	})
	qt.Assert(t, names, qt.DeepEquals, []string{"killer", "older"})
}

// TestCrashKeepsRequestWhoseCallerLeft guards against leaving out the request that
// caused the crash when its caller disconnects just before the crash is detected.
func TestCrashKeepsRequestWhoseCallerLeft(t *testing.T) {
	names := digestsAtCrash(1200*time.Millisecond, []playedRequest{
		{name: "killer", startedAt: 990 * time.Millisecond, endedAt: time.Second, deliveryEnd: endUnanswered},
		{name: "running", startedAt: 500 * time.Millisecond},
	})
	qt.Assert(t, names, qt.DeepEquals, []string{"running", "killer"})
}

// TestFailureBeforeLastAnswerIsNoSuspect checks that a request is not reported whose
// connection broke long before the last answer of the target that crashed.
func TestFailureBeforeLastAnswerIsNoSuspect(t *testing.T) {
	names := digestsAtCrash(20*time.Second, []playedRequest{
		{name: "reset", endedAt: time.Second, deliveryEnd: endConnectionBroken},
		{name: "answered", startedAt: 18 * time.Second, endedAt: 19 * time.Second, deliveryEnd: endAnswered},
		{name: "killer", startedAt: 19 * time.Second, endedAt: 19500 * time.Millisecond, deliveryEnd: endConnectionBroken},
	})
	qt.Assert(t, names, qt.DeepEquals, []string{"killer"})
}

// TestUnsentRequestIsNoAnswer guards against taking a request that could not be sent
// for an answer: it fails to reach the target long after the crash, and must not
// clear the requests that the target left unanswered.
func TestUnsentRequestIsNoAnswer(t *testing.T) {
	names := digestsAtCrash(6*time.Second, []playedRequest{
		{name: "killer", startedAt: 990 * time.Millisecond, endedAt: time.Second, deliveryEnd: endConnectionBroken},
		{name: "later", startedAt: 5 * time.Second, endedAt: 5 * time.Second, deliveryEnd: endNotSent},
	})
	qt.Assert(t, names, qt.DeepEquals, []string{"killer"})
}

// TestFailedRequestsAreBounded checks that the list of failed requests stays bounded
// and keeps the newest ones.
func TestFailedRequestsAreBounded(t *testing.T) {
	var list []playedRequest
	for i := range 10 * maxFailedRequests {
		list = append(list, playedRequest{name: fmt.Sprint(i), endedAt: time.Second, deliveryEnd: endConnectionBroken})
	}
	list = append(list, playedRequest{name: "killer", startedAt: 990 * time.Millisecond, endedAt: time.Second, deliveryEnd: endConnectionBroken})
	names := digestsAtCrash(2*time.Second, list)
	qt.Assert(t, names[0], qt.Equals, "killer")
	qt.Assert(t, len(names) <= maxFailedRequests, qt.IsTrue)
}

// digestAndBody returns the digest of a request and the body that is forwarded. The
// request states the length of its body if sized is set.
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

// TestDifferentRequestsHaveDifferentDigests checks that requests that differ in host
// or body have different digests. With equal ones, the success of one would clear
// the other, and the quarantine of one would reject the other.
func TestDifferentRequestsHaveDifferentDigests(t *testing.T) {
	long := strings.Repeat("x", maxReplayableBody)
	seen := map[string]string{}
	for _, host := range []string{"a.example", "b.example"} {
		for _, body := range []string{"one", "two", long, long + "y", long + "yz", "zzz" + long} {
			for _, sized := range []bool{true, false} {
				digest, sent := digestAndBody(t, host, body, sized)
				qt.Assert(t, sent, qt.Equals, body)
				description := fmt.Sprint(host, len(body), body[:1], body[len(body)-1:])
				if !sized && len(body) > maxReplayableBody {
					// The digest does not cover the end of a long body of unknown length.
					continue
				}
				if other, ok := seen[digest]; ok {
					qt.Assert(t, other, qt.Equals, description)
				}
				seen[digest] = description
			}
		}
	}
	qt.Assert(t, seen, qt.HasLen, 2*6)
	one, _ := digestAndBody(t, "a.example", "one"+long, false)
	two, _ := digestAndBody(t, "a.example", "two"+long, false)
	qt.Assert(t, one, qt.Not(qt.Equals), two)
}

// TestDigestIgnoresIdempotencyKey guards against a request that escapes the
// quarantine by a new idempotency key.
func TestDigestIgnoresIdempotencyKey(t *testing.T) {
	digestOf := func(key string) []byte {
		x := &Exchange{writer: httptest.NewRecorder(), request: httptest.NewRequest(http.MethodPost, "/path", strings.NewReader("body"))}
		x.request.Header.Set(headerIdempotency, key)
		qt.Assert(t, x.bufferBody(), qt.IsNil)
		return x.digest("team")
	}
	qt.Assert(t, digestOf("one"), qt.DeepEquals, digestOf("two"))
}

// TestRequestQuarantinedWhileQueued checks that a request is not delivered if it is
// quarantined while it waits for a slot of the target.
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

// hopRun serves one hop in a goroutine and closes served at its end.
type hopRun struct {
	forwarder *Forwarder
	exchange  *Exchange
	served    chan struct{}
}

func (h *hopRun) run() {
	h.forwarder.hop(h.exchange)
	close(h.served)
}
