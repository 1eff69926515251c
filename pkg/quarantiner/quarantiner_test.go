package quarantiner_test

import (
	"encoding/binary"
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/primrosewall/primrosewall/pkg/quarantiner"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// TestDecisionIsIndependentOfMergeOrder lets one node learn of a success between
// two crashes of the request and another node only after both crashes. Once the
// nodes have exchanged what they know, they must have made the same decision.
func TestDecisionIsIndependentOfMergeOrder(t *testing.T) {
	request := []byte("0123456789abcdef")
	a, b, x, y := newNode(), newNode(), newNode(), newNode()
	first, _ := a.RecordCrash(1, [][]byte{request})
	second, _ := b.RecordCrash(2, [][]byte{request})
	x.MergeCrashes(first)
	cleared := x.RecordSuccess(request)
	x.MergeCrashes(second)
	y.MergeCrashes(first)
	y.MergeCrashes(second)
	y.Merge(cleared)
	x.Merge(y.All())
	y.Merge(x.All())
	qt.Assert(t, x.IsQuarantined(request), qt.Equals, y.IsQuarantined(request))
}

func newNode() *quarantiner.Quarantiner { return quarantiner.New(&timekeeper.Manual{}, nil) }

// request returns the digest of the i-th request.
func request(i int) []byte {
	return binary.BigEndian.AppendUint64(make([]byte, 0, 16), xxhash.Sum64String(fmt.Sprint("request", i)))
}

// fleet simulates some nodes and the messages between them.
type fleet struct {
	nodes []*quarantiner.Quarantiner
	// pending holds the messages that are not delivered yet.
	pending []message
}

type message struct {
	to      int
	crash   *control.Crash
	suspect *control.Suspect
}

func newFleet(size int) *fleet {
	f := &fleet{}
	for range size {
		f.nodes = append(f.nodes, newNode())
	}
	return f
}

// broadcast sends announcements of one node to all others.
func (f *fleet) broadcast(from int, crashes []*control.Crash, suspects []*control.Suspect) {
	for to := range f.nodes {
		if to == from {
			continue
		}
		for _, c := range crashes {
			f.pending = append(f.pending, message{to: to, crash: c})
		}
		for _, s := range suspects {
			f.pending = append(f.pending, message{to: to, suspect: s})
		}
	}
}

// deliver delivers the i-th pending message; the receiver broadcasts what it
// has to announce in turn.
func (f *fleet) deliver(i int) {
	m := f.pending[i]
	f.pending = append(f.pending[:i], f.pending[i+1:]...)
	if m.crash != nil {
		crashes, suspects := f.nodes[m.to].MergeCrashes([]*control.Crash{m.crash})
		f.broadcast(m.to, crashes, suspects)
		return
	}
	f.broadcast(m.to, nil, f.nodes[m.to].Merge([]*control.Suspect{m.suspect}))
}

func (f *fleet) crash(node int, id uint64, digests ...[]byte) {
	crashes, suspects := f.nodes[node].RecordCrash(id, digests)
	f.broadcast(node, crashes, suspects)
}

func (f *fleet) succeed(node int, digest []byte) {
	f.broadcast(node, nil, f.nodes[node].RecordSuccess(digest))
}

// TestNodesConverge generates crashes and successes and delivers the messages
// about them in random order. Once all messages are delivered, all nodes must
// have made the same decisions.
func TestNodesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size, requests = 3, 3
		f := newFleet(size)
		crashes := uint64(0)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			node := rapid.IntRange(0, size-1).Draw(t, "node")
			switch kind := rapid.IntRange(0, 3).Draw(t, "step"); {
			case kind == 0 && crashes < 7:
				crashes++
				first := rapid.IntRange(0, requests-1).Draw(t, "first")
				last := rapid.IntRange(first, requests-1).Draw(t, "last")
				var digests [][]byte
				for i := first; i <= last; i++ {
					digests = append(digests, request(i))
				}
				f.crash(node, crashes, digests...)
			case kind == 1:
				f.succeed(node, request(rapid.IntRange(0, requests-1).Draw(t, "request")))
			case len(f.pending) > 0:
				f.deliver(rapid.IntRange(0, len(f.pending)-1).Draw(t, "message"))
			}
		}
		for rounds := 0; len(f.pending) > 0; rounds++ {
			if rounds > 10000 {
				t.Fatal("nodes still send announcements after 10000 deliveries")
			}
			f.deliver(rapid.IntRange(0, len(f.pending)-1).Draw(t, "message"))
		}
		for i := range requests {
			for _, n := range f.nodes {
				if n.IsQuarantined(request(i)) != f.nodes[0].IsQuarantined(request(i)) {
					t.Fatalf("only some nodes quarantine request %d", i)
				}
			}
		}
		for _, n := range f.nodes {
			if n.Digest() != f.nodes[0].Digest() {
				t.Fatal("digests differ")
			}
		}
	})
}

// TestSuccessLiftsQuarantine lets a frequent, harmless request be in flight at
// two crashes, so that all nodes quarantine it. After a target has answered it
// with success, all nodes must serve it again.
func TestSuccessLiftsQuarantine(t *testing.T) {
	f := newFleet(4)
	f.crash(0, 1, request(1), request(2))
	f.crash(1, 2, request(1), request(3))
	for len(f.pending) > 0 {
		f.deliver(0)
	}
	for _, n := range f.nodes {
		qt.Assert(t, n.IsQuarantined(request(1)), qt.IsTrue)
		qt.Assert(t, n.IsQuarantined(request(2)) || n.IsQuarantined(request(3)), qt.IsFalse)
	}
	f.succeed(2, request(1))
	for len(f.pending) > 0 {
		f.deliver(0)
	}
	for _, n := range f.nodes {
		qt.Assert(t, n.IsQuarantined(request(1)), qt.IsFalse)
	}
	// Later crashes count again. Node 2, where the request recently succeeded,
	// clears it of them too.
	f.crash(0, 3, request(1))
	f.crash(1, 4, request(1))
	for len(f.pending) > 0 {
		f.deliver(0)
	}
	quarantined := f.nodes[2].IsQuarantined(request(1))
	qt.Assert(t, quarantined, qt.IsFalse, qt.Commentf("the request recently succeeded at this node"))
}

// TestSuspectSurvivesOtherCrashes makes many other requests suspects between the
// first two crashes of a request and again afterwards. They must not evict it,
// neither while it is a suspect nor once it is quarantined.
func TestSuspectSurvivesOtherCrashes(t *testing.T) {
	n := newNode()
	n.RecordCrash(1, [][]byte{request(0)})
	others := 1
	crashOthers := func(crashes int) {
		for range crashes {
			var digests [][]byte
			for range 500 {
				digests = append(digests, request(others))
				others++
			}
			n.RecordCrash(uint64(others), digests)
		}
	}
	crashOthers(30)
	n.RecordCrash(2, [][]byte{request(0)})
	qt.Assert(t, n.IsQuarantined(request(0)), qt.IsTrue)
	crashOthers(100)
	qt.Assert(t, n.IsQuarantined(request(0)), qt.IsTrue)
	suspects, quarantined := n.Count()
	qt.Assert(t, suspects <= 16384+1, qt.IsTrue, qt.Commentf("%d", suspects))
	qt.Assert(t, quarantined, qt.Equals, 1)
}

// TestQuarantinedRequestsAreBounded quarantines more requests than a node may
// hold; the newest one must stay quarantined.
func TestQuarantinedRequestsAreBounded(t *testing.T) {
	n := newNode()
	for i := range 6000 {
		n.RecordCrash(uint64(2*i+1), [][]byte{request(i)})
		n.RecordCrash(uint64(2*i+2), [][]byte{request(i)})
	}
	suspects, quarantined := n.Count()
	qt.Assert(t, quarantined <= 4096 && suspects <= 4097, qt.IsTrue, qt.Commentf("%d %d", suspects, quarantined))
	qt.Assert(t, n.IsQuarantined(request(5999)), qt.IsTrue)
}
