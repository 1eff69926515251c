package limiter

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// silentHolder simulates a network in which the holder of all teams stops
// answering. Deputies, if there are any, take over after standbyDelay.
type silentHolder struct {
	silentSince time.Time
	deputies    bool
	nodes       int
}

// silentTimeout is the time that a request loses by trying the silent holder
// first.
const silentTimeout = 80 * time.Millisecond

// RequestTokens implements Holders.
func (h *silentHolder) RequestTokens(_ context.Context, _ string, r *control.TokensRequest) (*control.TokensReply, error) {
	now := time.Now()
	granted := &control.TokensReply{Count: r.Count, Term: 250, Batch: 1}
	if h.silentSince.IsZero() || now.Before(h.silentSince) {
		return granted, nil
	}
	opens := h.silentSince.Add(standbyDelay)
	if h.deputies && !now.Before(opens) {
		return granted, nil
	}
	time.Sleep(silentTimeout)
	if !h.deputies {
		return &control.TokensReply{Absent: true}, nil
	}
	return &control.TokensReply{Absent: true, Wait: uint32(max(0, time.Until(opens)).Milliseconds()) + 1}, nil
}

// OtherCentres implements Holders.
func (h *silentHolder) OtherCentres(string) []string { return nil }

// Reserve implements Limits, with a tolerance of a tenth of the limit plus 20
// requests in 5 s.
func (h *silentHolder) Reserve(string) Reserve {
	return NewReserve(Allocation{Rate: 20, Burst: 20}, 5*time.Second, 0.1, 20, h.nodes)
}

// outcome is the result and duration of one call of Acquire.
type outcome struct {
	err  error
	took time.Duration
}

// caller sends one request of a team to a node.
type caller struct {
	client   *TokenClient
	team     string
	mu       *sync.Mutex
	outcomes *[]outcome
	group    *sync.WaitGroup
}

func (c *caller) run() {
	defer c.group.Done()
	start := time.Now()
	err := c.client.Acquire(context.Background(), c.team)
	c.mu.Lock()
	defer c.mu.Unlock()
	*c.outcomes = append(*c.outcomes, outcome{err, time.Since(start)})
}

// sendWhileSilent sends requests of ten teams to all nodes for 1.5 s. The holder
// stops answering 100 ms after the first.
func sendWhileSilent(nodes int, deputies bool) []outcome {
	h := &silentHolder{deputies: deputies, nodes: nodes}
	var clients []*TokenClient
	for i := range nodes {
		clients = append(clients, NewTokenClient(timekeeper.BootTimeClock{}, h, ByDemand{}, fmt.Sprint("node", i), "", func() uint64 { return 1 }, h))
	}
	h.silentSince = time.Now().Add(100 * time.Millisecond)
	var mu sync.Mutex
	var outcomes []outcome
	group := &sync.WaitGroup{}
	for i := range 400 {
		group.Add(1)
		c := &caller{client: clients[i*7%nodes], team: fmt.Sprint("team", i%10), mu: &mu, outcomes: &outcomes, group: group}
		go c.run()
		time.Sleep(1500 * time.Millisecond / 400)
	}
	group.Wait()
	return outcomes
}

// TestNoRejectionsWhileDeputiesTakeOver loses the holder of all limits. No team is
// over its limit, so no request may be rejected, and none may wait longer than it
// takes until a deputy takes over and is asked.
func TestNoRejectionsWhileDeputiesTakeOver(t *testing.T) {
	for _, nodes := range []int{16, 199, 1000} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rejected := 0
				for _, o := range sendWhileSilent(nodes, true) {
					if o.err != nil {
						rejected++
					}
					qt.Check(t, o.took <= standbyDelay+2*silentTimeout, qt.IsTrue, qt.Commentf("%v", o.took))
				}
				qt.Check(t, rejected, qt.Equals, 0)
			})
		})
	}
}

// TestCallersDoNotWaitWithoutDeputies loses the holder without deputies to take
// over: requests must be admitted from the reserve or rejected without waiting
// for further refills.
func TestCallersDoNotWaitWithoutDeputies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, o := range sendWhileSilent(199, false) {
			qt.Check(t, o.took <= 2*silentTimeout, qt.IsTrue, qt.Commentf("%v", o.took))
		}
	})
}
