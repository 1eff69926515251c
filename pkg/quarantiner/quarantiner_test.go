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

// TestMergeDependsOnOrder lets two nodes hear of two crashes and of an answer
// in between in different orders. Both must come to the same decision.
func TestMergeDependsOnOrder(t *testing.T) {
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

// request names the request of a number.
func request(i int) []byte {
	return binary.BigEndian.AppendUint64(make([]byte, 0, 16), xxhash.Sum64String(fmt.Sprint("request", i)))
}

// fleet is a few nodes with the messages between them.
type fleet struct {
	nodes []*quarantiner.Quarantiner
	// mail holds what is still to be delivered, by receiver.
	mail []message
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

// tell sends what a node has to tell to all others.
func (f *fleet) tell(from int, crashes []*control.Crash, suspects []*control.Suspect) {
	for to := range f.nodes {
		if to == from {
			continue
		}
		for _, c := range crashes {
			f.mail = append(f.mail, message{to: to, crash: c})
		}
		for _, s := range suspects {
			f.mail = append(f.mail, message{to: to, suspect: s})
		}
	}
}

// deliver hands one message over.
func (f *fleet) deliver(i int) {
	m := f.mail[i]
	f.mail = append(f.mail[:i], f.mail[i+1:]...)
	if m.crash != nil {
		crashes, suspects := f.nodes[m.to].MergeCrashes([]*control.Crash{m.crash})
		f.tell(m.to, crashes, suspects)
		return
	}
	f.tell(m.to, nil, f.nodes[m.to].Merge([]*control.Suspect{m.suspect}))
}

func (f *fleet) crash(at int, id uint64, digests ...[]byte) {
	crashes, suspects := f.nodes[at].RecordCrash(id, digests)
	f.tell(at, crashes, suspects)
}

func (f *fleet) succeed(at int, digest []byte) { f.tell(at, nil, f.nodes[at].RecordSuccess(digest)) }

// TestNodesDecideAlike lets crashes and successes happen while messages are
// under way in any order. Once all are delivered, all nodes decide alike.
func TestNodesDecideAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size, requests = 3, 3
		f := newFleet(size)
		crashes := uint64(0)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			at := rapid.IntRange(0, size-1).Draw(t, "node")
			switch kind := rapid.IntRange(0, 3).Draw(t, "step"); {
			case kind == 0 && crashes < 7:
				crashes++
				first := rapid.IntRange(0, requests-1).Draw(t, "first")
				last := rapid.IntRange(first, requests-1).Draw(t, "last")
				var digests [][]byte
				for i := first; i <= last; i++ {
					digests = append(digests, request(i))
				}
				f.crash(at, crashes, digests...)
			case kind == 1:
				f.succeed(at, request(rapid.IntRange(0, requests-1).Draw(t, "request")))
			case len(f.mail) > 0:
				f.deliver(rapid.IntRange(0, len(f.mail)-1).Draw(t, "message"))
			}
		}
		for rounds := 0; len(f.mail) > 0; rounds++ {
			if rounds > 10000 {
				t.Fatal("nodes never stop telling each other")
			}
			f.deliver(rapid.IntRange(0, len(f.mail)-1).Draw(t, "message"))
		}
		for i := range requests {
			for _, n := range f.nodes {
				if n.IsQuarantined(request(i)) != f.nodes[0].IsQuarantined(request(i)) {
					t.Fatalf("request %d is refused by some nodes only", i)
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

// TestBystanderIsRefusedForGood runs a frequent request at two crashes. Another
// one of its kind succeeds, and all nodes serve it again.
func TestBystanderIsRefusedForGood(t *testing.T) {
	f := newFleet(4)
	f.crash(0, 1, request(1), request(2))
	f.crash(1, 2, request(1), request(3))
	for len(f.mail) > 0 {
		f.deliver(0)
	}
	for _, n := range f.nodes {
		qt.Assert(t, n.IsQuarantined(request(1)), qt.IsTrue)
		qt.Assert(t, n.IsQuarantined(request(2)) || n.IsQuarantined(request(3)), qt.IsFalse)
	}
	f.succeed(2, request(1))
	for len(f.mail) > 0 {
		f.deliver(0)
	}
	for _, n := range f.nodes {
		qt.Assert(t, n.IsQuarantined(request(1)), qt.IsFalse)
	}
	// Crashes after that count anew.
	f.crash(0, 3, request(1))
	f.crash(1, 4, request(1))
	for len(f.mail) > 0 {
		f.deliver(0)
	}
	succeeded := f.nodes[2].IsQuarantined(request(1))
	qt.Assert(t, succeeded, qt.IsFalse, qt.Commentf("it succeeded seconds ago"))
}

// TestCrashingRequestIsForgotten lets many others run at crashes between the
// first two of a request.
func TestCrashingRequestIsForgotten(t *testing.T) {
	n := newNode()
	n.RecordCrash(1, [][]byte{request(0)})
	others := 1
	storm := func(crashes int) {
		for range crashes {
			var digests [][]byte
			for range 500 {
				digests = append(digests, request(others))
				others++
			}
			n.RecordCrash(uint64(others), digests)
		}
	}
	storm(30)
	n.RecordCrash(2, [][]byte{request(0)})
	qt.Assert(t, n.IsQuarantined(request(0)), qt.IsTrue)
	storm(100)
	qt.Assert(t, n.IsQuarantined(request(0)), qt.IsTrue)
	suspects, barred := n.Count()
	qt.Assert(t, suspects <= 16384+1, qt.IsTrue, qt.Commentf("%d", suspects))
	qt.Assert(t, barred, qt.Equals, 1)
}

// TestBarredRequestsAreBounded bars more requests than are remembered.
func TestBarredRequestsAreBounded(t *testing.T) {
	n := newNode()
	for i := range 6000 {
		n.RecordCrash(uint64(2*i+1), [][]byte{request(i)})
		n.RecordCrash(uint64(2*i+2), [][]byte{request(i)})
	}
	suspects, barred := n.Count()
	qt.Assert(t, barred <= 4096 && suspects <= 4097, qt.IsTrue, qt.Commentf("%d %d", suspects, barred))
	qt.Assert(t, n.IsQuarantined(request(5999)), qt.IsTrue)
}
