package test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// crowdMemory is the memory of the process, in MiB, as its settings state it. The
	// resident memory must stay under it.
	crowdMemory = 96
	// crowdDescriptors bounds the open descriptors: as many for each MiB as on the
	// smallest machines, which have 4,100 descriptors and 184 MiB.
	crowdDescriptors = crowdMemory * 4100 / 184
	// crowdConnections is the number of connections that the crowd holds open at a time,
	// more than the process has descriptors for.
	crowdConnections = 2400
	// smallCrowd is the number of callers that keep the node parsing all the time; more
	// would only compete with it for the processor.
	smallCrowd = 400
	// crowdTime is how long a crowd stays, and dripInterval how often a slow caller sends.
	crowdTime    = 2 * time.Second
	dripInterval = 200 * time.Millisecond
	// heldConnections is how many connections a process may have in tests of callers that
	// hold them, and heldCrowd the number of such callers, more than that.
	heldConnections = 64
	heldCrowd       = 100
	// smallSegment and smallWindow, in bytes, are those of callers that never read: the
	// kernel then takes few of the answers for them.
	smallSegment = 536
	smallWindow  = 2 << 10
	// heldHeadBytes is how much of a head slow callers send at once: less than what
	// net/http refuses.
	heldHeadBytes = 31 << 10
	// shortHeadBytes is how much of a head is not counted against the memory of heads.
	shortHeadBytes = 4000
)

// crowd is a number of callers outside the limits.
type crowd struct {
	address string
	// first is sent at once, then piece until the connection ends, with a pause of
	// dripInterval in between if slow is set. A caller whose connection has ended opens
	// another one.
	first, piece string
	slow         bool
	size         int
	// neverReads is set for callers that never read what they are sent.
	neverReads bool
	// request, if not empty, is sent before, and its answer is read; again and again if
	// piece is empty.
	request string

	ctx   context.Context
	end   context.CancelFunc
	group sync.WaitGroup
}

func (c *crowd) start() {
	c.ctx, c.end = context.WithCancel(context.Background())
	for range c.size {
		c.group.Add(1)
		go c.run()
	}
}

func (c *crowd) stop() {
	c.end()
	c.group.Wait()
}

func (c *crowd) run() {
	defer c.group.Done()
	for {
		c.hold()
		select {
		case <-c.ctx.Done():
			return
		case <-time.After(dripInterval):
		}
	}
}

// hold keeps one connection until it ends or the crowd does.
func (c *crowd) hold() {
	d := net.Dialer{Timeout: time.Second}
	if c.neverReads {
		d.Control = setSmallWindow
	}
	conn, err := d.Dial("tcp", c.address)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(c.ctx, func() { conn.Close() })()
	if c.request != "" {
		reader := bufio.NewReader(conn)
		for err = ask(conn, reader, c.request); err == nil && c.piece == ""; err = ask(conn, reader, c.request) {
		}
		if err != nil {
			return
		}
	}
	_, err = io.WriteString(conn, c.first)
	for err == nil {
		if c.slow {
			time.Sleep(dripInterval)
		}
		_, err = io.WriteString(conn, c.piece)
	}
}

// ask sends a request and reads its answer.
func ask(conn net.Conn, reader *bufio.Reader, request string) error {
	if _, err := io.WriteString(conn, request); err != nil {
		return err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// setSmallWindow makes the kernel hold little of what was sent to a caller.
func setSmallWindow(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, smallSegment),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallWindow))
	})
	return errors.Join(err, optionErr)
}

// shortLines returns header lines without values, each with another name, of a total length.
func shortLines(length int) string {
	var b strings.Builder
	for i := 0; b.Len() < length; i++ {
		fmt.Fprintf(&b, "%s:\r\n", strconv.FormatInt(int64(i), 36))
	}
	return b.String()
}

// openDescriptors returns the number of open descriptors of the daemon.
func (n *node) openDescriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.daemon.Process.Pid))
	n.fleet.Assert(err, qt.IsNil, qt.Commentf("the process has ended"))
	return len(list)
}

// crowdNode starts a node, with all its listeners, that serves requests. connections is the
// number of connections from callers and other nodes, or 0 for the default.
func crowdNode(t *testing.T, connections int) *node {
	f := newFleet(t)
	n := f.add("a", "east", true, "-service", "back")
	n.extraSettings = map[string]any{
		"memory": crowdMemory, "links": "plain", "ready": addresses.Next(), "metrics": addresses.Next(),
		"callers": map[string]any{"connections": connections},
	}
	f.start()
	n.declare(`{
  "centres": {"east": {"witnesses": ["a"]}},
  "teams": {},
  "routes": [{"name": "open", "path": "/open", "service": "back", "open": true}]
}`)
	f.waitUntil("the node has routed a request to its target", func() bool { return n.send("GET", "/open", nil, nil).status == 200 })
	return n
}

// controlNode starts a node that serves the control calls of the users' platform, with
// connections as in crowdNode.
func controlNode(t *testing.T, connections int) *node {
	f := newFleet(t)
	n := f.add("a", "east", true)
	n.extraSettings = map[string]any{
		"memory": crowdMemory, "links": "plain", "interface": "platform", "control": addresses.Next(),
		"callers": map[string]any{"connections": connections},
	}
	n.startDaemon()
	f.waitUntil("the node answers at its control address", func() bool { return answers(n.extraSettings["control"].(string)) })
	return n
}

// answers reports whether a listener answers a request.
func answers(address string) bool {
	response, err := newClient().Get("http://" + address + "/")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode < http.StatusInternalServerError
}

// crowdListener is a listener to which crowds come.
type crowdListener struct {
	name, address string
	node          *node
}

// happens reports whether a condition becomes true within waitTimeout.
func happens(ready func() bool) bool {
	for end := time.Now().Add(waitTimeout); !ready(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// listeners returns the listeners of a crowdNode and of a controlNode.
func listeners(n, other *node) []crowdListener {
	return []crowdListener{
		{"listen", n.listen, n}, {"peer", n.peer, n}, {"admin", n.admin, n}, {"control", other.extraSettings["control"].(string), other},
		{"ready", n.extraSettings["ready"].(string), n}, {"metrics", n.extraSettings["metrics"].(string), n},
	}
}

// resists lets a crowd come to each listener, and checks that the process lives, that its
// memory and its open descriptors stay bounded, and that it serves afterwards.
func resists(t *testing.T, size int, first, piece string, slow bool) {
	n, other := crowdNode(t, 0), controlNode(t, 0)
	for _, l := range listeners(n, other) {
		t.Run(l.name, func(t *testing.T) {
			l.resists(t, n, &crowd{address: l.address, first: first, piece: piece, slow: slow, size: size})
		})
	}
}

// resists is resists for one listener; n serves the ordinary request.
func (l crowdListener) resists(t *testing.T, n *node, c *crowd) {
	memory, descriptors := 0, 0
	c.start()
	for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		memory, descriptors = max(memory, l.node.residentMemory()), max(descriptors, l.node.openDescriptors())
	}
	c.stop()
	t.Logf("%s: %d MiB, %d descriptors", l.name, memory>>20, descriptors)
	qt.Check(t, memory <= crowdMemory<<20, qt.IsTrue, qt.Commentf("%d MiB of resident memory, %d stated", memory>>20, crowdMemory))
	qt.Check(t, descriptors <= crowdDescriptors, qt.IsTrue, qt.Commentf("%d open descriptors", descriptors))
	l.node.fleet.waitUntil("the listener answers", func() bool { return answers(l.address) })
	n.fleet.waitUntil("an ordinary request is served", func() bool { return n.send("GET", "/open", nil, nil).status == 200 })
}

// servesMeanwhile lets a crowd that holds more connections than allowed come to each listener,
// and checks that others are answered there while it stays.
func servesMeanwhile(t *testing.T, first, piece string, slow, neverReads bool) {
	n, other := crowdNode(t, heldConnections), controlNode(t, heldConnections)
	for _, l := range listeners(n, other) {
		t.Run(l.name, func(t *testing.T) {
			c := &crowd{address: l.address, first: first, piece: piece, slow: slow, size: heldCrowd, neverReads: neverReads}
			c.start()
			defer c.stop()
			time.Sleep(crowdTime)
			qt.Check(t, happens(func() bool { return answers(l.address) }), qt.IsTrue, qt.Commentf("the listener answers meanwhile"))
			qt.Check(t, happens(func() bool { return n.send("GET", "/open", nil, nil).status == 200 }), qt.IsTrue, qt.Commentf("an ordinary request is served meanwhile"))
		})
	}
}

const crowdRequestLine = "GET /open/x HTTP/1.1\r\nHost: x\r\n"

// TestHeldLongLines guards against memory taken by many heads with a long line that do not end.
func TestHeldLongLines(t *testing.T) {
	resists(t, crowdConnections, crowdRequestLine+"Long: "+strings.Repeat("x", heldHeadBytes), "x", true)
}

// TestHeldShortLines guards against memory taken by many heads with thousands of short lines
// that do not end: parsed, they take many times their length.
func TestHeldShortLines(t *testing.T) {
	resists(t, crowdConnections, crowdRequestLine+shortLines(heldHeadBytes), "x", true)
}

// TestLongLinesWithoutEnd guards against memory taken by heads far over the limit.
func TestLongLinesWithoutEnd(t *testing.T) {
	resists(t, crowdConnections, crowdRequestLine+"Long: ", strings.Repeat("x", 16<<10), false)
}

// TestShortLinesWithoutEnd guards against memory taken by heads of short lines over the limit.
func TestShortLinesWithoutEnd(t *testing.T) {
	resists(t, smallCrowd, crowdRequestLine, shortLines(64<<10), false)
}

// TestWholeHeadsOfShortLines guards against memory taken by requests whose heads have
// thousands of lines and do end.
func TestWholeHeadsOfShortLines(t *testing.T) {
	head := crowdRequestLine + shortLines(heldHeadBytes) + "\r\n"
	resists(t, smallCrowd, head, head, false)
}

// TestEmptyLinesWithoutEnd guards against memory taken by empty lines before a request.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	resists(t, crowdConnections, "\r\n", strings.Repeat("\r\n", 8<<10), false)
}

// TestSlowEmptyLines guards against connections held by empty lines that come slowly.
func TestSlowEmptyLines(t *testing.T) {
	resists(t, crowdConnections, "\r\n", "\r\n", true)
}

// TestServedCallersOpenDescriptors guards against descriptors that the process opens to other
// nodes and to its target for callers that it serves: more callers than it has descriptors
// for send one request after the other, or get an answer and then send heads or empty lines
// without end.
func TestServedCallersOpenDescriptors(t *testing.T) {
	n := crowdNode(t, 0)
	l := crowdListener{"listen", n.listen, n}
	for name, c := range map[string]*crowd{
		"requests":    {},
		"long lines":  {first: crowdRequestLine + "Long: " + strings.Repeat("x", heldHeadBytes), piece: "x", slow: true},
		"short heads": {first: crowdRequestLine + "Long: " + strings.Repeat("x", shortHeadBytes), piece: "x", slow: true},
		"empty lines": {piece: strings.Repeat("\r\n", 8<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			c.address, c.size, c.request = n.listen, crowdConnections, crowdRequestLine+"\r\n"
			l.resists(t, n, c)
		})
	}
}

// TestSlowBodiesHoldConnections guards against callers that send the bodies of their requests
// slowly and hold all places, so that others get no answer.
func TestSlowBodiesHoldConnections(t *testing.T) {
	servesMeanwhile(t, "POST /open/x HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n", "x", true, false)
}

// TestUnreadAnswersHoldConnections guards against callers that never read their answers and
// hold all places, so that others get no answer.
func TestUnreadAnswersHoldConnections(t *testing.T) {
	servesMeanwhile(t, "", strings.Repeat("GET /none HTTP/1.1\r\nHost: x\r\n\r\n", 20), false, true)
}

// TestRequestsWithinLimitsAreServed guards against bounds that a single caller inside the
// declared limits reaches: heads of 16 KiB, in one line and in as many lines as they can
// have, that come within 3 s, and bodies of 64 MiB.
func TestRequestsWithinLimitsAreServed(t *testing.T) {
	const headBytes, bodyBytes = 16 << 10, 64 << 20
	n := crowdNode(t, 0)
	for name, lines := range map[string]string{
		"one line":    "Long: " + strings.Repeat("x", headBytes-len(crowdRequestLine)-12) + "\r\n",
		"short lines": strings.Repeat("a:\n", (headBytes-len(crowdRequestLine)-2)/3),
	} {
		qt.Check(t, sendSlowly(t, n, crowdRequestLine+lines, "\r\n"), qt.Equals, http.StatusOK, qt.Commentf("%s", name))
	}
	r := n.send("POST", "/open/x", io.LimitReader(zeros{}, bodyBytes), nil)
	qt.Check(t, r.status, qt.Equals, http.StatusOK, qt.Commentf("%v", r.err))
	qt.Check(t, sendSlowly(t, n, crowdRequestLine, "Slow: x\r\n", "\r\n"), qt.Equals, http.StatusOK)
}

// sendSlowly sends a request in pieces, with a second in between, and returns the status of
// the answer.
func sendSlowly(t *testing.T, n *node, pieces ...string) int {
	conn, err := net.Dial("tcp", n.listen)
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(time.Second)
		}
		_, err = io.WriteString(conn, piece)
		qt.Assert(t, err, qt.IsNil)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	return response.StatusCode
}

// zeros is an endless body.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
