package test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/configurer"
	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/proto/control"
)

// The stated bound: no second holds more than coldRate x coldRatio + coldSlack requests.
const (
	coldRate  = 5.4
	coldRatio = 1.5
	coldSlack = 8
	coldAllow = coldRate*coldRatio + coldSlack
)

// coldDriver is a target whose reports state that it stays cold for so many
// milliseconds.
type coldDriver struct {
	platformDriver
	cold *atomic.Int64
}

func (c coldDriver) announcement(f *interfaceFleet, leaving bool) *http.Request {
	r := c.platformDriver.announcement(f, leaving)
	body, _ := io.ReadAll(r.Body)
	body = bytes.Replace(body, []byte(`"0ms"`), fmt.Appendf(nil, `"%dms"`, c.cold.Load()), 1)
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	return r
}

func (coldDriver) declare(t *testing.T, f *interfaceFleet) {
	client := control.NewOperatorProtobufClient("http://"+f.replica.Admin, http.DefaultClient)
	d := &declarer.Declaration{
		Routes:   []declarer.Route{{Name: "open", Path: "/open", Service: "echo", Open: true, Idempotent: true}},
		Services: map[string]declarer.Service{"echo": {Cold: coldRate}},
	}
	text, err := d.Canonical()
	qt.Assert(t, err, qt.IsNil)
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		plan, err := client.Plan(context.Background(), &control.PlanRequest{Declaration: text})
		if err != nil {
			continue
		}
		reply, err := client.Confirm(context.Background(), &control.ConfirmRequest{Id: plan.Id, Base: plan.Base, Declaration: text})
		if err == nil && reply.Refused == "" {
			return
		}
	}
	t.Fatal("the declaration did not come into force")
}

// TestColdTargetGetsMoreThanItsBound guards against a cold target that gets more in a
// second than its bound, from four entry nodes in two data centres and over a restart of
// the node beside it, against one that is left idle meanwhile, and against one that does
// not get its full rate within a second of the end.
func TestColdTargetGetsMoreThanItsBound(t *testing.T) {
	t.Parallel()
	s := coldDriver{cold: &atomic.Int64{}}
	target := newLimitedTarget(t, s, 50*time.Millisecond)
	f := &limitedFleet{interfaceFleet: newInterfaceFleet(t, s, target.address), driver: s, target: target}
	f.node.Cold, f.node.Pace = configurer.Cold{Ratio: coldRatio, Slack: coldSlack}, configurer.PaceFound
	f.restartNode(t)
	for i := range entryCount {
		e, cancel := f.startEntry(t, i)
		f.entries = append(f.entries, e)
		defer t.Cleanup(cancel)
	}
	s.declare(t, f.interfaceFleet)
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	go (&targetAnnouncer{f.interfaceFleet, s, ended}).run()
	for _, e := range f.entries {
		f.sendUntil(t, func() *http.Request { return s.request(e, "/open/x", "") }, hasStatus(http.StatusOK))
	}

	const load = 200
	end := f.load(load)
	time.Sleep(2 * time.Second)
	s.cold.Store(60_000)
	// The next report, and the requests that are on their way then.
	time.Sleep(500 * time.Millisecond)
	turned := time.Now()
	time.Sleep(6 * time.Second)
	used := countBetween(target.arrivedTimes(), turned.Add(time.Second), turned.Add(6*time.Second))
	qt.Check(t, float64(used) >= 0.8*coldAllow*5, qt.IsTrue, qt.Commentf("%d in 5 s", used))
	f.restartNode(t)
	time.Sleep(3 * time.Second)
	most := mostInWindow(target.arrivedTimes(), turned, time.Second)
	qt.Check(t, float64(most) <= coldAllow, qt.IsTrue, qt.Commentf("%d in a second", most))
	s.cold.Store(0)
	time.Sleep(200 * time.Millisecond)
	warm := time.Now()
	time.Sleep(2 * time.Second)
	end()
	full := countBetween(target.arrivedTimes(), warm.Add(time.Second), warm.Add(2*time.Second))
	qt.Check(t, float64(full) >= 0.6*load, qt.IsTrue, qt.Commentf("%d in the second after the first, %v were sent", full, load))
}
