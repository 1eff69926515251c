package gossiper_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/gossiper"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// TestRestartedNodeForgetsDeparture guards against a node that restarts and announces
// again a life of its target that had left: other nodes must not use it, and must tell
// the node, while the next life is used at once.
func TestRestartedNodeForgetsDeparture(t *testing.T) {
	self := &control.Entry{Instance: "b", Centre: "east", Address: "b:1"}
	other := gossiper.New(self, nil, &timekeeper.Manual{}, &startedNode{}, &startedNode{}, nil)
	// send passes an entry of instance a in a sync request, and returns the reply.
	send := func(incarnation, stamp uint64, service, life string) *control.SyncReply {
		return other.AnswerSync(&control.SyncRequest{From: "a", Address: "a:1", Entries: []*control.Entry{
			{Instance: "a", Centre: "east", Address: "a:1", State: control.State_STATE_ALIVE, Incarnation: incarnation, Stamp: stamp, Service: service, Life: life},
		}})
	}
	used := func() int { return len(other.ServiceMembers("s")) }
	told := func(r *control.SyncReply) string {
		for _, e := range r.Entries {
			if e.Instance == "a" && e.Service == "" {
				return e.Life
			}
		}
		return ""
	}
	send(1, 1, "s", "x/10")
	qt.Assert(t, used(), qt.Equals, 1)
	send(1, 2, "", "x/10")
	qt.Assert(t, used(), qt.Equals, 0)
	qt.Assert(t, told(send(2, 1, "", "")), qt.Equals, "x/10")
	qt.Assert(t, told(send(2, 2, "s", "x/10")), qt.Equals, "x/10")
	qt.Assert(t, used(), qt.Equals, 0)
	send(2, 3, "s", "x/20")
	qt.Assert(t, used(), qt.Equals, 1)
	// A crash or a stop of the node is no departure.
	send(2, 4, "", "")
	other.AnswerSync(&control.SyncRequest{From: "a", Address: "a:1", Entries: []*control.Entry{
		{Instance: "a", Centre: "east", Address: "a:1", State: control.State_STATE_LEAVING, Incarnation: 2, Stamp: 5, Slots: 4, Life: "x/20"},
	}})
	send(3, 1, "s", "x/20")
	qt.Assert(t, used(), qt.Equals, 1)
	// A departure while the node stops is one.
	other.AnswerSync(&control.SyncRequest{From: "a", Address: "a:1", Entries: []*control.Entry{
		{Instance: "a", Centre: "east", Address: "a:1", State: control.State_STATE_LEAVING, Incarnation: 3, Stamp: 2, Life: "x/20"},
	}})
	send(4, 1, "s", "x/20")
	qt.Assert(t, used(), qt.Equals, 0)
}

// TestNodeLearnsOwnDeparture guards against a restarted node that is told of a life of
// its target that has left, and goes on with it.
func TestNodeLearnsOwnDeparture(t *testing.T) {
	node := &member{}
	g := gossiper.New(&control.Entry{Instance: "a", Address: "a:1", Incarnation: 2}, nil, &timekeeper.Manual{}, &startedNode{}, node, nil)
	g.Receive(&control.Packet{From: "b", Address: "b:1", Entries: []*control.Entry{{Instance: "a", Life: "x/10"}}})
	qt.Assert(t, node.left, qt.DeepEquals, []string{"x/10"})
}
