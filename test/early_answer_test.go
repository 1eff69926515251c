package test

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/primrosewall/primrosewall/pkg/configurer"
)

const (
	// earlyBodyBytes is the length of the bodies, more than net/http reads by itself
	// after a response, and earlyReadBytes what the target has read when it answers.
	earlyBodyBytes = 640 << 10
	earlyReadBytes = 20 << 10
	// earlyPause lets the answer pass through the nodes before the target reads on.
	earlyPause = 20 * time.Millisecond
	// callerPause is how long some callers are silent in the middle of a body.
	callerPause = 300 * time.Millisecond
)

// numberedBody is a body in which each four bytes hold their position.
func numberedBody(length int) []byte {
	body := make([]byte, length)
	for i := 0; i+4 <= length; i += 4 {
		binary.BigEndian.PutUint32(body[i:], uint32(i))
	}
	return body
}

// earlyTarget answers requests before it has read their bodies, and reads on.
type earlyTarget struct {
	driver   interfaceDriver
	listener net.Listener

	mu sync.Mutex
	// faults lists what was wrong with the rest of a body; ended counts the requests.
	faults []string
	ended  int
	whole  int
}

func newEarlyTarget(t *testing.T, s interfaceDriver) *earlyTarget {
	l, err := net.Listen("tcp", addresses.Next())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	e := &earlyTarget{driver: s, listener: l}
	go e.run()
	return e
}

func (e *earlyTarget) run() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go (&earlyConn{target: e, conn: c}).run()
	}
}

// earlyConn is a connection to an earlyTarget.
type earlyConn struct {
	target *earlyTarget
	conn   net.Conn
}

func (c *earlyConn) run() {
	defer c.conn.Close()
	reader := bufio.NewReader(c.conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !c.serve(r) {
			return
		}
	}
}

// serve answers a request early if it has a body. It returns false when the connection
// has ended.
func (c *earlyConn) serve(r *http.Request) bool {
	answer := &http.Response{ProtoMajor: 1, ProtoMinor: 1, StatusCode: http.StatusOK, Header: http.Header{}, Request: r}
	c.target.driver.answer(answer.Header, r, "", false)
	text := "GET /"
	if r.Method == http.MethodGet {
		answer.ContentLength, answer.Body = int64(len(text)), io.NopCloser(strings.NewReader(text))
		return answer.Write(c.conn) == nil
	}
	received := make([]byte, earlyReadBytes)
	if _, err := io.ReadFull(r.Body, received); err != nil {
		return false
	}
	kind := parseEarlyAnswer(r.URL.Query().Get("answer"))
	body := &earlyAnswerBody{left: kind.length}
	answer.ContentLength, answer.Body = int64(kind.length), io.NopCloser(strings.NewReader(strings.Repeat("a", kind.length)))
	if kind.chunked {
		answer.ContentLength, answer.TransferEncoding = -1, []string{"chunked"}
	}
	readOn := func() error {
		time.Sleep(earlyPause)
		rest, err := io.ReadAll(r.Body)
		c.target.record(append(received, rest...), err)
		return err
	}
	if kind.slow {
		// The rest of the request is read in the middle of the answer.
		body.halfway = readOn
		answer.Body = body
	}
	if err := answer.Write(c.conn); err != nil {
		return false
	}
	return kind.slow || readOn() == nil
}

// earlyAnswer is a kind of answer: how long its body is, whether its length is unknown,
// and whether it ends only after the target has read the whole request.
type earlyAnswer struct {
	length        int
	chunked, slow bool
}

func (a earlyAnswer) String() string { return fmt.Sprintf("%d,%t,%t", a.length, a.chunked, a.slow) }

func parseEarlyAnswer(text string) earlyAnswer {
	a := earlyAnswer{}
	_, _ = fmt.Sscanf(text, "%d,%t,%t", &a.length, &a.chunked, &a.slow)
	return a
}

// earlyAnswerBody is the body of an answer.
type earlyAnswerBody struct {
	left    int
	halfway func() error
	begun   bool
}

func (b *earlyAnswerBody) Read(p []byte) (int, error) {
	if b.begun && b.halfway != nil {
		err := b.halfway()
		b.halfway = nil
		if err != nil {
			return 0, err
		}
	}
	if b.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), b.left)
	if b.halfway != nil {
		n = min(n, max(b.left/2, 1))
	}
	b.left -= n
	b.begun = true
	for i := range p[:n] {
		p[i] = 'a'
	}
	return n, nil
}

func (b *earlyAnswerBody) Close() error { return nil }

// record checks the body of a request as far as it has arrived; err is nil if it ended
// as if it were whole.
func (e *earlyTarget) record(received []byte, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended++
	want := numberedBody(earlyBodyBytes)
	switch {
	case len(received) > len(want) || string(received) != string(want[:len(received)]):
		e.faults = append(e.faults, fmt.Sprintf("other bytes among the %d that arrived", len(received)))
	case err == nil && len(received) < len(want):
		e.faults = append(e.faults, fmt.Sprintf("the body ended as if it were whole after %d bytes", len(received)))
	case err == nil:
		e.whole++
	}
}

// sendEarly sends a body to an entry node, whether or not the answer has come, and reads
// the answer, meanwhile or, with sendFirst, when all is sent. It is silent for pause in the
// middle of the body. It returns the length of the answer's body.
func sendEarly(s interfaceDriver, entry *configurer.Settings, answer string, chunked, sendFirst bool, pause time.Duration) (int, error) {
	r := s.request(entry, "/open/x?answer="+answer, "")
	c, err := net.DialTimeout("tcp", entry.Listen, waitTimeout)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\n", r.URL.RequestURI(), r.Host)
	_ = r.Header.Write(&head)
	sender := &earlySender{conn: c, chunked: chunked, pause: pause, done: make(chan error, 1)}
	if chunked {
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	} else {
		fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", earlyBodyBytes)
	}
	if _, err := io.WriteString(c, head.String()); err != nil {
		return 0, err
	}
	if sendFirst {
		sender.run()
	} else {
		go sender.run()
	}
	response, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		return 0, err
	}
	text, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	// The caller goes on sending; the node may close after the answer.
	<-sender.done
	return len(text), err
}

// earlySender sends a body in pieces.
type earlySender struct {
	conn    net.Conn
	chunked bool
	pause   time.Duration
	done    chan error
}

func (s *earlySender) run() {
	body := numberedBody(earlyBodyBytes)
	for len(body) > 0 {
		n := min(len(body), 8<<10)
		if err := s.write(body[:n]); err != nil {
			s.done <- err
			return
		}
		body = body[n:]
		if len(body) == earlyBodyBytes/2 {
			time.Sleep(s.pause)
		}
		time.Sleep(time.Millisecond)
	}
	if s.chunked {
		// The caller may have its answer, and the connection its end, by now.
		_, _ = io.WriteString(s.conn, "0\r\n\r\n")
	}
	s.done <- nil
}

// write sends a piece of the body.
func (s *earlySender) write(piece []byte) error {
	if s.chunked {
		piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
	}
	_, err := s.conn.Write(piece)
	return err
}

// TestEarlyAnswerMixesUpBody guards against a target that answers before it has read a
// long body and then gets, where the rest is due, bytes from further on in it or its end.
// The caller gets the whole answer, whatever its length.
func TestEarlyAnswerMixesUpBody(t *testing.T) {
	forBothInterfaces(t, func(t *testing.T, s interfaceDriver) {
		target := newEarlyTarget(t, s)
		f := newInterfaceFleet(t, s, target.listener.Addr().String())
		other := f.addEntry(t, 0)
		s.declare(t, f)
		f.announce(t, s, false)
		for _, e := range []*configurer.Settings{f.node, other} {
			f.sendUntil(t, func() *http.Request { return s.request(e, "/open/x", "") }, hasStatus(http.StatusOK))
		}
		ended := make(chan struct{})
		defer close(ended)
		go (&targetAnnouncer{f, s, ended}).run()
		sent := 0
		for _, answer := range []earlyAnswer{
			{2, false, false}, {30 << 10, false, false}, {300 << 10, false, false}, {4, true, false}, {300 << 10, true, false},
			{30 << 10, false, true}, {300 << 10, false, true}, {4, true, true}, {300 << 10, true, true},
		} {
			for _, e := range []*configurer.Settings{f.node, other} {
				for _, chunked := range []bool{false, true} {
					for i := range 3 {
						sent++
						sendFirst, pause := i > 0, time.Duration(i/2)*callerPause
						got, err := sendEarly(s, e, answer.String(), chunked, sendFirst, pause)
						comment := qt.Commentf("%+v chunked=%t sendFirst=%t pause=%v through %s", answer, chunked, sendFirst, pause, e.Instance)
						qt.Check(t, err, qt.IsNil, comment)
						qt.Check(t, got, qt.Equals, answer.length, comment)
					}
				}
			}
		}
		for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(earlyPause) {
			target.mu.Lock()
			done := target.ended >= sent
			target.mu.Unlock()
			if done {
				break
			}
		}
		target.mu.Lock()
		defer target.mu.Unlock()
		t.Logf("%d of %d bodies arrived whole", target.whole, target.ended)
		qt.Check(t, target.ended, qt.Equals, sent)
		qt.Check(t, target.faults, qt.HasLen, 0)
	})
}

// TestWholeUploadKeepsConnection guards against a connection that is closed although the
// target has read the whole body before it answered.
func TestWholeUploadKeepsConnection(t *testing.T) {
	forBothInterfaces(t, func(t *testing.T, s interfaceDriver) {
		target := newEchoTarget(t)
		f := newInterfaceFleet(t, s, target.address)
		s.declare(t, f)
		f.announce(t, s, false)
		f.sendUntil(t, func() *http.Request { return s.request(f.node, "/open/x", "") }, hasStatus(http.StatusOK))
		for _, length := range []int64{earlyBodyBytes, -1} {
			r := s.request(f.node, "/open/x", "")
			r.Method, r.ContentLength = http.MethodPost, length
			r.Body = io.NopCloser(strings.NewReader(string(numberedBody(earlyBodyBytes))))
			response, err := http.DefaultClient.Do(r)
			qt.Assert(t, err, qt.IsNil)
			text, err := io.ReadAll(response.Body)
			response.Body.Close()
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, string(text), qt.Equals, fmt.Sprintf("POST /open/x %d", earlyBodyBytes))
			qt.Check(t, response.Close, qt.IsFalse)
		}
	})
}
