package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The bound of the users' rule: after the third crash every node refuses the
// request within stabilityWindow, but for a few sends.
const (
	maxQuarantineDelay = 3 * time.Second
	maxLateCrashes     = 3
)

// TestCrashingRequestIsSentOnUnderLoad sends a request that crashes each target
// to all nodes by turns while every target runs many others, and counts the
// crashes that come too late. Half of the time a target answers it with 500.
func TestCrashingRequestIsQuarantinedUnderLoad(t *testing.T) {
	const (
		nodes    = 12
		inflight = 40
		length   = 9 * time.Second
	)
	f := newFleet(t)
	var all []*node
	for i := range nodes {
		options := []string{"-service", "back", "-slots", "200", "-time", "1s", "-spare", "2"}
		all = append(all, f.add(fmt.Sprintf("n%02d", i), "east", i == 0, options...))
	}
	f.start()
	all[0].declare(`{
  "centres": {"east": {"witnesses": ["n00"]}},
  "teams": {},
  "routes": [{"name": "open", "path": "/open", "service": "back", "open": true}]
}`)
	f.waitUntil("targets are known everywhere", func() bool {
		for _, n := range all {
			if n.send("GET", "/open/first", nil, nil).status != 200 {
				return false
			}
		}
		return true
	})
	ctx, cancel := context.WithCancel(context.Background())
	load := &backgroundLoad{nodes: all}
	for i := range nodes * inflight {
		load.Add(1)
		go load.run(ctx, i)
	}
	time.Sleep(3 * time.Second)
	crashes := sendCrashingRequests(f, all, length)
	cancel()
	load.Wait()
	// With fewer the request was not found by its crashes.
	f.Assert(len(crashes) >= 2, qt.IsTrue, qt.Commentf("%d crashes", len(crashes)))
	late := 0
	for i, at := range crashes {
		f.Logf("crash %d after %v", i+1, at.Sub(crashes[0]).Round(10*time.Millisecond))
		if i > 2 && at.Sub(crashes[2]) > maxQuarantineDelay {
			late++
		}
	}
	f.Assert(late <= maxLateCrashes, qt.IsTrue, qt.Commentf("%d of %d crashes came later than %v after the third", late, len(crashes), maxQuarantineDelay))
}

// background is the load of other requests, each on a path of its own.
type backgroundLoad struct {
	sync.WaitGroup
	nodes []*node
}

func (b *backgroundLoad) run(ctx context.Context, worker int) {
	defer b.Done()
	client := &http.Client{Timeout: waitTimeout}
	for i := 0; ctx.Err() == nil; i++ {
		n := b.nodes[(worker+i)%len(b.nodes)]
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.listen+fmt.Sprintf("/open/%d-%d", worker, i), nil)
		if err != nil || doRequest(client, r).status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// crashEverything sends the crashing request to a random node ten times a second
// and starts targets again one second after their end. It returns when each
// target ended.
func sendCrashingRequests(f *fleet, all []*node, length time.Duration) []time.Time {
	random := rand.New(rand.NewPCG(17, 1))
	var crashes []time.Time
	endedAt := map[*node]time.Time{}
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		n := all[random.IntN(len(all))]
		c := &crashingCaller{node: n}
		go c.run()
		time.Sleep(100 * time.Millisecond)
		for _, n := range all {
			at, isDown := endedAt[n]
			switch {
			case !isDown && n.targetEnded():
				endedAt[n] = time.Now()
				crashes = append(crashes, endedAt[n])
			case isDown && time.Since(at) > time.Second:
				delete(endedAt, n)
				n.startTarget()
			}
		}
	}
	return crashes
}

// crashingCaller sends the crashing request once.
type crashingCaller struct{ node *node }

func (c *crashingCaller) run() { c.node.send("GET", "/open/crash", nil, nil) }

// ended tells whether the target's process has ended since it was last asked.
func (n *node) targetEnded() bool {
	var status syscall.WaitStatus
	pid, err := syscall.Wait4(n.targetProcess.Process.Pid, &status, syscall.WNOHANG, nil)
	return err == nil && pid == n.targetProcess.Process.Pid
}
