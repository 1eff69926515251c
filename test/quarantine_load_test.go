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

// The users' requirement: after the third crash every node rejects the request
// within maxQuarantineDelay; maxLateCrashes later crashes are allowed.
const (
	maxQuarantineDelay = 3 * time.Second
	maxLateCrashes     = 3
)

// TestCrashingRequestIsQuarantinedUnderLoad sends a request that crashes targets
// to random nodes while every target runs many other requests, and counts the
// crashes that come too late. A target answers every second crashing request with
// 500 and does not crash.
func TestCrashingRequestIsQuarantinedUnderLoad(t *testing.T) {
	const (
		nodes    = 12
		inflight = 40
		duration = 9 * time.Second
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
	f.waitUntil("every node has routed a request to a target", func() bool {
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
	crashes := sendCrashingRequests(f, all, duration)
	cancel()
	load.Wait()
	// Fewer than two crashes cannot have quarantined the request.
	f.Assert(len(crashes) >= 2, qt.IsTrue, qt.Commentf("%d crashes", len(crashes)))
	late := 0
	for i, at := range crashes {
		f.Logf("crash %d after %v", i+1, at.Sub(crashes[0]).Round(10*time.Millisecond))
		if i > 2 && at.Sub(crashes[2]) > maxQuarantineDelay {
			late++
		}
	}
	f.Assert(late <= maxLateCrashes, qt.IsTrue, qt.Commentf("%d of %d crashes came more than %v after the third", late, len(crashes), maxQuarantineDelay))
}

// backgroundLoad sends other requests, each with its own path.
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

// sendCrashingRequests sends the crashing request to a random node ten times a
// second and restarts each target one second after its crash. It returns the times
// of the crashes.
func sendCrashingRequests(f *fleet, all []*node, duration time.Duration) []time.Time {
	random := rand.New(rand.NewPCG(17, 1))
	var crashes []time.Time
	endedAt := map[*node]time.Time{}
	end := time.Now().Add(duration)
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

// targetEnded reports whether the target's process has exited since the last call.
// It reaps the process, so it returns true once per exit.
func (n *node) targetEnded() bool {
	var status syscall.WaitStatus
	pid, err := syscall.Wait4(n.targetProcess.Process.Pid, &status, syscall.WNOHANG, nil)
	return err == nil && pid == n.targetProcess.Process.Pid
}
