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
type played struct {
	name  string
	began time.Duration
	ended time.Duration
	end   end
	life  string
}

// play runs flights and returns the requests noted for a crash of life "a".
func play(at time.Duration, list []played) []string {
	var f flights
	start := time.Unix(100, 0)
	for i, p := range list {
		life := p.life
		if life == "" {
			life = "a"
		}
		fl := &Flight{id: fmt.Sprint(i), hop: &control.Hop{Digest: []byte(p.name)}, life: life, began: start.Add(p.began)}
		f.add(fl)
		if p.ended > 0 {
			fl.end = p.end
			f.remove(fl, start.Add(p.ended))
		}
	}
	var names []string
	for _, d := range f.atCrash("a", start.Add(at)).Digests {
		names = append(names, string(d))
	}
	return names
}

// TestCrashFoundLateNamesNobody breaks connections at a crash that is found four
// seconds later, when the next life of the target reports.
func TestCrashFoundLateNamesNobody(t *testing.T) {
	names := play(5*time.Second, []played{
		{name: "answered", ended: 900 * time.Millisecond, end: endAnswered},
		{name: "older", began: 100 * time.Millisecond, ended: time.Second, end: endBroken},
		{name: "killer", began: 990 * time.Millisecond, ended: time.Second, end: endBroken},
		{name: "other", ended: time.Second, end: endBroken, life: "b"},
	})
	qt.Assert(t, names, qt.DeepEquals, []string{"killer", "older"})
}

// TestCrashForgetsWhoseCallerLeft ends the crashing request by its caller's
// leaving, just before the crash is found.
func TestCrashForgetsWhoseCallerLeft(t *testing.T) {
	names := play(1200*time.Millisecond, []played{
		{name: "killer", began: 990 * time.Millisecond, ended: time.Second, end: endUnanswered},
		{name: "running", began: 500 * time.Millisecond},
	})
	qt.Assert(t, names, qt.DeepEquals, []string{"running", "killer"})
}

// TestFailureBeforeAnAnswerIsNoCause breaks a connection long before the last
// answer of the target that crashes.
func TestFailureBeforeAnAnswerIsNoCause(t *testing.T) {
	names := play(20*time.Second, []played{
		{name: "reset", ended: time.Second, end: endBroken},
		{name: "answered", began: 18 * time.Second, ended: 19 * time.Second, end: endAnswered},
		{name: "killer", began: 19 * time.Second, ended: 19500 * time.Millisecond, end: endBroken},
	})
	qt.Assert(t, names, qt.DeepEquals, []string{"killer"})
}

// TestRefusedConnectionIsNoAnswer sends to a target that is gone, long after it
// crashed: that says nothing for the requests that it left.
func TestRefusedConnectionIsNoAnswer(t *testing.T) {
	names := play(6*time.Second, []played{
		{name: "killer", began: 990 * time.Millisecond, ended: time.Second, end: endBroken},
		{name: "later", began: 5 * time.Second, ended: 5 * time.Second, end: endNotSent},
	})
	qt.Assert(t, names, qt.DeepEquals, []string{"killer"})
}

// TestFailuresAreBounded keeps the newest failures.
func TestFailuresAreBounded(t *testing.T) {
	var list []played
	for i := range 10 * maxFailures {
		list = append(list, played{name: fmt.Sprint(i), ended: time.Second, end: endBroken})
	}
	list = append(list, played{name: "killer", began: 990 * time.Millisecond, ended: time.Second, end: endBroken})
	names := play(2*time.Second, list)
	qt.Assert(t, names[0], qt.Equals, "killer")
	qt.Assert(t, len(names) <= maxFailures, qt.IsTrue)
}

// named returns the digest of a request, and the body that is sent on.
func named(t *testing.T, host, body string, sized bool) (digest, sent string) {
	var reader io.Reader = strings.NewReader(body)
	if !sized {
		reader = io.MultiReader(reader)
	}
	x := &Exchange{writer: httptest.NewRecorder(), request: httptest.NewRequest(http.MethodPost, "/path", reader), route: &declarer.Route{Host: host}}
	qt.Assert(t, x.request.ContentLength >= 0, qt.Equals, sized)
	qt.Assert(t, x.readSmall(), qt.IsNil)
	digest = string(x.digest("team"))
	out, _ := x.nextBody()
	raw, err := io.ReadAll(out)
	qt.Assert(t, err, qt.IsNil)
	return digest, string(raw)
}

// TestOtherRequestHasTheNameOfTheCrashingOne gives requests that differ in host
// or body names of their own, so that none of them clears another or is refused
// in its place.
func TestOtherRequestHasTheNameOfTheCrashingOne(t *testing.T) {
	long := strings.Repeat("x", smallBody)
	seen := map[string]string{}
	for _, host := range []string{"a.example", "b.example"} {
		for _, body := range []string{"one", "two", long, long + "y", long + "yz", "zzz" + long} {
			for _, sized := range []bool{true, false} {
				digest, sent := named(t, host, body, sized)
				qt.Assert(t, sent, qt.Equals, body)
				what := fmt.Sprint(host, len(body), body[:1], body[len(body)-1:])
				if !sized && len(body) > smallBody {
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
	one, _ := named(t, "a.example", "one"+long, false)
	two, _ := named(t, "a.example", "two"+long, false)
	qt.Assert(t, one, qt.Not(qt.Equals), two)
}

// TestCrashingRequestTakesAnotherKey sends one request with two idempotency keys.
func TestCrashingRequestTakesAnotherKey(t *testing.T) {
	name := func(key string) []byte {
		x := &Exchange{writer: httptest.NewRecorder(), request: httptest.NewRequest(http.MethodPost, "/path", strings.NewReader("body"))}
		x.request.Header.Set(headerIdempotency, key)
		qt.Assert(t, x.readSmall(), qt.IsNil)
		return x.digest("team")
	}
	qt.Assert(t, name("one"), qt.DeepEquals, name("two"))
}

// TestCrashingRequestIsSentAfterItsWait bars a request while it waits for a slot
// of the target.
func TestCrashingRequestIsSentAfterItsWait(t *testing.T) {
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
		writer: recorder, request: httptest.NewRequest(http.MethodGet, "/path", nil), began: clock.Now(), atTarget: true,
		hop: &control.Hop{Service: "back", Team: "team", Digest: []byte("0123456789abcdef")}, budget: retrier.NewBudget(0),
		deadline: clock.Now().Add(5 * time.Second), content: []byte{},
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
