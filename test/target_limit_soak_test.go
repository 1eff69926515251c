package test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/configurer"
)

// soakSeeds is the number of seeds of TestTargetLimitSoak.
var soakSeeds = flag.Int("soak", 1, "number of `seeds` of TestTargetLimitSoak")

const (
	soakLength = 20 * time.Second
	soakLimit  = 5
	soakLoad   = 100
	// soakServiceTime is long enough for many requests to begin before an answer.
	soakServiceTime = 200 * time.Millisecond
)

// soakNode is a node whose process is stopped, killed and started again.
type soakNode struct {
	*node
	random *rand.Rand
	ended  chan struct{}
	done   chan struct{}
	// disturbed is called after each disturbance.
	disturbed func()
}

// run disturbs the node until ended is closed, and leaves it running.
func (s *soakNode) run() {
	defer close(s.done)
	for {
		select {
		case <-s.ended:
			return
		case <-time.After(time.Duration(300+s.random.IntN(1500)) * time.Millisecond):
			s.disturb()
			s.disturbed()
		}
	}
}

// disturb freezes the process for a while, or ends it with either signal and starts it
// again.
func (s *soakNode) disturb() {
	process := s.daemon.Process
	switch s.random.IntN(3) {
	case 0:
		_ = process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(100+s.random.IntN(2000)) * time.Millisecond)
		_ = process.Signal(syscall.SIGCONT)
	case 1:
		_ = process.Signal(syscall.SIGTERM)
		time.Sleep(time.Duration(s.random.IntN(300)) * time.Millisecond)
		fallthrough
	case 2:
		_ = process.Kill()
		_, _ = process.Wait()
		s.startDaemon()
	}
}

// soakAnnouncer announces a target to its node, also while that is down.
type soakAnnouncer struct {
	node    *node
	address string
	ended   chan struct{}
}

func (a *soakAnnouncer) run() {
	driver := nativeDriver{}
	f := &interfaceFleet{address: a.address, node: &configurer.Settings{Admin: a.node.admin}}
	for {
		if response, err := newClient().Do(driver.announcement(f, false)); err == nil {
			response.Body.Close()
		}
		select {
		case <-a.ended:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// TestTargetLimitSoak keeps a load of 20 times the limit that a target names on four
// entry nodes, while the node beside the target and one entry node are frozen, killed
// and restarted. The stated bound must hold, and the target must be used.
func TestTargetLimitSoak(t *testing.T) {
	for seed := range uint64(*soakSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			soakTargetLimit(t, seed)
		})
	}
}

func soakTargetLimit(t *testing.T, seed uint64) {
	target := newLimitedTarget(t, nativeDriver{}, soakServiceTime)
	f := newFleet(t)
	replica := f.add("replica", "east", true)
	own := f.add("own", "east", false)
	own.connections = testSlots
	var entries []*node
	for i, centre := range []string{"east", "west", "east", "west"} {
		entries = append(entries, f.add(fmt.Sprintf("entry%d", i), centre, false))
	}
	f.start()
	replica.declare(`{"routes": [{"name": "open", "path": "/open", "service": "echo", "open": true}]}`)
	ended := make(chan struct{})
	go (&soakAnnouncer{own, target.address, ended}).run()
	f.waitUntil("every entry node serves", func() bool {
		for _, n := range entries {
			if n.send(http.MethodGet, "/open/x", nil, nil).status != http.StatusOK {
				return false
			}
		}
		return true
	})
	var loads []*callers
	for _, n := range entries {
		c := newCallers(nativeDriver{}, target, &configurer.Settings{Instance: n.name, Listen: n.listen}, soakLoad/float64(len(entries)), ended)
		loads = append(loads, c)
		go c.run()
	}
	target.state(fmt.Sprint(soakLimit), false)
	named := time.Now()
	time.Sleep(limitSettles)
	disturbances := []*soakNode{
		{node: own, disturbed: func() {}},
		{node: entries[0], disturbed: func() { target.excuse(entries[0].name) }},
	}
	for i, s := range disturbances {
		s.random, s.ended, s.done = rand.New(rand.NewPCG(seed, uint64(i))), ended, make(chan struct{})
		go s.run()
	}
	time.Sleep(soakLength)
	close(ended)
	for _, s := range disturbances {
		<-s.done
	}
	for _, c := range loads {
		c.done.Wait()
	}
	got := mostInWindow(target.counted(limitKnown, arrivedAt), named.Add(limitSettles), limitWindow)
	qt.Check(t, got <= limitAllows(soakLimit), qt.IsTrue, qt.Commentf("seed %d: got %d in %v, allowed %d", seed, got, limitWindow, limitAllows(soakLimit)))
	qt.Check(t, got > 0, qt.IsTrue)
	t.Logf("seed %d: at most %d in %v, allowed %d", seed, got, limitWindow, limitAllows(soakLimit))
}
