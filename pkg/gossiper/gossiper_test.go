package gossiper_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/primrosewall/primrosewall/pkg/gossiper"
	"github.com/primrosewall/primrosewall/pkg/quarantiner"
	"github.com/primrosewall/primrosewall/pkg/timekeeper"
	"github.com/primrosewall/primrosewall/proto/control"
)

// datagramOverheadBytes is what encryption and the UDP and IP headers add to a
// packet.
const datagramOverheadBytes = 24 + 16 + 28

// mesh delivers packets between gossipers in one process, except those for which
// isLost is set and returns true. Time passes only in step.
type mesh struct {
	clock     *timekeeper.Manual
	nodes     []*member
	byAddress map[string]*member
	inFlight  []sentPacket
	bytes     int
	isLost    func(from, to *member) bool
}

type sentPacket struct {
	from, to *member
	packet   *control.Packet
}

type member struct {
	mesh    *mesh
	name    string
	version uint64
	gossip  *gossiper.Gossiper
	frozen  bool
	// withdrawn holds the withdrawn keys that the member knows.
	withdrawn  map[string]bool
	quarantine *quarantiner.Quarantiner
	// left lists the lives of the own target that other members know to have left.
	left []string
}

func (m *member) LearnLeft(life string) { m.left = append(m.left, life) }

func (m *member) Version() uint64 { return m.version }

func (m *member) LearnVersion(version uint64, _ string) {
	if version > m.version {
		m.version = version
		m.gossip.BroadcastVersion()
	}
}

func (m *member) Merge(items gossiper.Items) gossiper.Items {
	var fresh gossiper.Items
	for _, w := range items.Withdrawn {
		if !m.withdrawn[string(w)] {
			m.withdrawn[string(w)] = true
			fresh.Withdrawn = append(fresh.Withdrawn, w)
		}
	}
	fresh.Suspects = m.quarantine.Merge(items.Suspects)
	var decided []*control.Suspect
	fresh.Crashes, decided = m.quarantine.MergeCrashes(items.Crashes)
	fresh.Suspects = append(fresh.Suspects, decided...)
	return fresh
}

// crash reports a crash of the member's target with these requests in flight.
func (m *member) crash(id string, digests [][]byte) {
	parts, decided := m.quarantine.RecordCrash(xxhash.Sum64String(id), digests)
	m.gossip.Broadcast(gossiper.Items{Crashes: parts, Suspects: decided})
}

// withdraw withdraws a key at this member.
func (m *member) withdraw(key string) {
	m.gossip.Broadcast(m.Merge(gossiper.Items{Withdrawn: [][]byte{[]byte(key)}}))
}

// quarantinedCount returns how many members quarantine a request.
func (g *mesh) quarantinedCount(digest []byte) int {
	count := 0
	for _, m := range g.nodes {
		if m.quarantine.IsQuarantined(digest) {
			count++
		}
	}
	return count
}

func (m *member) Digest() uint64 { return uint64(len(m.withdrawn)) ^ m.quarantine.Digest() }

func (m *member) All() gossiper.Items {
	all := gossiper.Items{Suspects: m.quarantine.All()}
	for w := range m.withdrawn {
		all.Withdrawn = append(all.Withdrawn, []byte(w))
	}
	return all
}

func (m *member) Send(address string, p *control.Packet) {
	to, ok := m.mesh.byAddress[address]
	m.mesh.bytes += proto.Size(p) + datagramOverheadBytes
	if ok {
		m.mesh.inFlight = append(m.mesh.inFlight, sentPacket{m, to, proto.Clone(p).(*control.Packet)})
	}
}

func newMesh(size int) *mesh {
	g := &mesh{clock: &timekeeper.Manual{}, byAddress: map[string]*member{}}
	for i := range size {
		m := &member{mesh: g, name: fmt.Sprintf("instance%04d", i), withdrawn: map[string]bool{}, quarantine: quarantiner.New(g.clock, nil)}
		address := fmt.Sprintf("10.0.%d.%d:7401", i/250, i%250)
		self := &control.Entry{Instance: m.name, Centre: fmt.Sprint("centre", i%11), Address: address, Service: fmt.Sprint("service", i%190), Slots: 100}
		m.gossip = gossiper.New(self, []string{"10.0.0.0:7401"}, g.clock, m, m, rand.New(rand.NewPCG(1, uint64(i))))
		g.nodes = append(g.nodes, m)
		g.byAddress[address] = m
	}
	return g
}

// join makes every node know every other one and lets the gossip settle.
func (g *mesh) join() {
	for _, a := range g.nodes {
		request := &control.SyncRequest{From: "all"}
		for _, b := range g.nodes {
			if a != b {
				request.Entries = append(request.Entries, b.gossip.Self())
			}
		}
		a.gossip.AnswerSync(request)
	}
	g.advance(30 * time.Second)
}

// advance passes time in ticks of the gossipers.
func (g *mesh) advance(d time.Duration) {
	for ; d > 0; d -= 100 * time.Millisecond {
		g.step()
	}
}

// step passes one tick and delivers the packets that it causes.
func (g *mesh) step() {
	g.clock.Advance(100 * time.Millisecond)
	for _, m := range g.nodes {
		if !m.frozen {
			m.gossip.Tick()
		}
	}
	g.deliver()
}

// deliver delivers all packets in flight and those that they cause.
func (g *mesh) deliver() {
	for len(g.inFlight) > 0 {
		p := g.inFlight[0]
		g.inFlight = g.inFlight[1:]
		if p.to.frozen || (g.isLost != nil && g.isLost(p.from, p.to)) {
			continue
		}
		p.to.gossip.Receive(p.packet)
	}
}

// state returns the state in which m sees another member.
func (m *member) state(other *member) control.State {
	e := m.gossip.Member(other.name)
	if e == nil {
		return control.State_STATE_UNSPECIFIED
	}
	return e.State
}

// allSee reports whether all other nodes see a member in a state.
func (g *mesh) allSee(other *member, state control.State) bool {
	for _, m := range g.nodes {
		if m != other && m.state(other) != state {
			return false
		}
	}
	return true
}

func TestMemberSilentToOnePeerIsNotDead(t *testing.T) {
	g := newMesh(10)
	g.join()
	a, b := g.nodes[1], g.nodes[2]
	for name, isLost := range map[string]func(from, to *member) bool{
		"cut":     func(from, to *member) bool { return from == a && to == b || from == b && to == a },
		"one way": func(from, to *member) bool { return from == a && to == b },
	} {
		t.Run(name, func(t *testing.T) {
			g.isLost = isLost
			for range 600 {
				g.step()
				qt.Assert(t, a.state(b), qt.Not(qt.Equals), control.State_STATE_DEAD)
				qt.Assert(t, b.state(a), qt.Not(qt.Equals), control.State_STATE_DEAD)
			}
			g.isLost = nil
			g.advance(10 * time.Second)
		})
	}
}

func TestFrozenMemberIsDeadThenAliveAgain(t *testing.T) {
	g := newMesh(10)
	g.join()
	m := g.nodes[3]
	m.frozen = true
	g.advance(30 * time.Second)
	qt.Assert(t, g.allSee(m, control.State_STATE_DEAD), qt.IsTrue)
	m.frozen = false
	g.advance(40 * time.Second)
	qt.Assert(t, g.allSee(m, control.State_STATE_ALIVE), qt.IsTrue)
	for _, other := range g.nodes {
		qt.Assert(t, m.state(other), qt.Equals, control.State_STATE_ALIVE)
	}
}

func TestPartitionedHalvesRejoin(t *testing.T) {
	g := newMesh(20)
	g.join()
	half := func(m *member) bool { return m.name < "instance0010" }
	g.isLost = func(from, to *member) bool { return half(from) != half(to) }
	g.advance(60 * time.Second)
	qt.Assert(t, g.nodes[0].state(g.nodes[15]), qt.Equals, control.State_STATE_DEAD)
	// Each half gets a change that the other half doesn't know.
	g.nodes[0].LearnVersion(7, "")
	g.nodes[15].withdraw("key")
	g.advance(5 * time.Second)
	g.isLost = nil
	g.advance(60 * time.Second)
	for _, m := range g.nodes {
		qt.Assert(t, m.version, qt.Equals, uint64(7))
		qt.Assert(t, g.allSee(m, control.State_STATE_ALIVE), qt.IsTrue)
	}
}

func TestChangesReachAllNodes(t *testing.T) {
	g := newMesh(100)
	g.join()
	g.nodes[5].gossip.UpdateSelf(func(e *control.Entry) { e.State, e.Service = control.State_STATE_LEAVING, "" })
	g.nodes[6].withdraw("key")
	g.nodes[7].LearnVersion(9, "")
	// All nodes must know a change within 2 s.
	g.advance(2 * time.Second)
	qt.Assert(t, g.allSee(g.nodes[5], control.State_STATE_LEAVING), qt.IsTrue)
	for _, m := range g.nodes {
		qt.Assert(t, m.withdrawn["key"], qt.IsTrue)
		qt.Assert(t, m.version, qt.Equals, uint64(9))
	}
}

// TestUpdateIsKeptForLaterMembers lets a node learn of a second one before it knows
// a third, which can learn of the second only from that node. An update dropped
// for lack of recipients would not reach the third.
func TestUpdateIsKeptForLaterMembers(t *testing.T) {
	g := newMesh(3)
	third, receiver, second := g.nodes[0], g.nodes[1], g.nodes[2]
	g.isLost = func(from, to *member) bool { return from == third || to == third }
	receiver.gossip.AnswerSync(&control.SyncRequest{From: second.name, Entries: []*control.Entry{second.gossip.Self()}})
	g.advance(500 * time.Millisecond)
	g.isLost = func(from, to *member) bool { return from == second && to == third || from == third && to == second }
	receiver.gossip.AnswerSync(&control.SyncRequest{From: third.name, Entries: []*control.Entry{third.gossip.Self()}})
	// All nodes must know a change within 2 s.
	g.advance(2 * time.Second)
	qt.Check(t, third.state(second), qt.Equals, control.State_STATE_ALIVE)
}

// BenchmarkGossip reports for each fleet size: the bytes that a node sends per
// second without changes, the bytes that a node sends in 10 s after a new version,
// the time until all nodes know that version, and the processor time per node and
// second.
func BenchmarkGossip(b *testing.B) {
	for _, size := range []int{32, 128, 512} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			g := newMesh(size)
			g.join()
			for b.Loop() {
				measure(b, g, size)
			}
		})
	}
}

func measure(b *testing.B, g *mesh, size int) {
	const idleSeconds = 10
	g.bytes = 0
	began := time.Now()
	g.advance(idleSeconds * time.Second)
	perNode := float64(size * idleSeconds)
	b.ReportMetric(float64(g.bytes)/perNode, "B/node/s")
	b.ReportMetric(float64(time.Since(began).Microseconds())/perNode, "µs/node/s")
	g.bytes = 0
	next := g.nodes[0].version + 1
	g.nodes[0].LearnVersion(next, "")
	steps := 0
	for !isEverywhere(g, next) {
		g.step()
		steps++
	}
	b.ReportMetric(float64(steps)/10, "s/version")
	g.advance(10*time.Second - time.Duration(steps)*100*time.Millisecond)
	b.ReportMetric(float64(g.bytes)/float64(size), "B/node/version")
}

// isEverywhere reports whether all members know a version.
func isEverywhere(g *mesh, version uint64) bool {
	for _, m := range g.nodes {
		if m.version < version {
			return false
		}
	}
	return true
}
