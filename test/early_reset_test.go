package test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	resetUploads = 20
	// resetUploadBytes is more than all buffers between caller and target hold, so that
	// the upload is still being written when the target resets the connection.
	resetUploadBytes = 16 << 20
	longPartBytes    = 200 << 10
	resetPause       = 20 * time.Millisecond
)

// brokenAnswer is an answer that ends with a reset of the connection.
type brokenAnswer struct {
	name    string
	chunked bool
	length  int
	pause   time.Duration
}

var brokenAnswers = []brokenAnswer{
	{"close-short", false, 100, 0},
	{"close-short-pause", false, 100, resetPause},
	{"close-long", false, longPartBytes, 0},
	{"close-long-pause", false, longPartBytes, resetPause},
	{"chunked-short-pause", true, 100, resetPause},
}

// write answers with a part and resets the connection.
func (b *brokenAnswer) write(c net.Conn) {
	part := strings.Repeat("a", b.length)
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + part
	if b.chunked {
		head = fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", b.length, part)
	}
	_, _ = io.WriteString(c, head)
	time.Sleep(b.pause)
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// upload sends a long body while it reads the answer. It reports whether a complete answer
// with status 200 arrived.
func (n *node) upload(path string) (complete bool, err error) {
	return n.request(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", path, resetUploadBytes), resetUploadBytes)
}

// request sends a head and a body of zeros while it reads the answer.
func (n *node) request(head string, length int) (complete bool, err error) {
	c, err := net.DialTimeout("tcp", n.listen, waitTimeout)
	if err != nil {
		return false, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	go func() {
		_, err := io.WriteString(c, head)
		for piece, sent := make([]byte, 64<<10), 0; err == nil && sent < length; sent += len(piece) {
			_, err = c.Write(piece)
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return false, err
	}
	_, err = io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK, err
}

// newBrokenTargetFleet starts an entry node, and a node with a target that writes raw bytes.
func newBrokenTargetFleet(t *testing.T, links string, respond func(c net.Conn, path string)) *node {
	f := newFleet(t)
	a := f.add("a", "east", true)
	b := f.add("b", "east", false)
	for _, n := range []*node{a, b} {
		n.extraSettings = map[string]any{"links": links}
		n.startDaemon()
	}
	a.declare(`{
  "centres": {"east": {"witnesses": ["a"]}},
  "teams": {},
  "routes": [{"name": "open", "path": "/open", "service": "back", "open": true}]
}`)
	target := &rawTarget{node: b, respond: respond}
	target.listen(f, "back")
	f.waitUntil("the entry node has routed a request to the target", func() bool { return a.send("GET", "/open/good", nil, nil).status == 200 })
	return a
}

const goodAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"

// TestResetDuringUploadIsNoAnswer guards against a part of an answer that reaches the caller
// as a complete one, because the write of the upload took the error of the connection.
func TestResetDuringUploadIsNoAnswer(t *testing.T) {
	for _, links := range []string{"tls", "plain"} {
		t.Run(links, func(t *testing.T) {
			a := newBrokenTargetFleet(t, links, answerBroken)
			for _, b := range brokenAnswers {
				completed := 0
				for range resetUploads {
					if complete, _ := a.upload("/open/" + b.name); complete {
						completed++
					}
				}
				qt.Check(t, completed, qt.Equals, 0, qt.Commentf("%s: complete answers of %d", b.name, resetUploads))
			}
		})
	}
}

// TestBrokenAnswerToOldCaller guards against a part of an answer that a caller of HTTP/1.0,
// to whom the end of the connection ends an answer, takes for a complete one.
func TestBrokenAnswerToOldCaller(t *testing.T) {
	a := newBrokenTargetFleet(t, "tls", answerBroken)
	for _, b := range brokenAnswers {
		completed := 0
		for range resetUploads {
			if complete, _ := a.request("GET /open/"+b.name+" HTTP/1.0\r\n\r\n", 0); complete {
				completed++
			}
		}
		qt.Check(t, completed, qt.Equals, 0, qt.Commentf("%s: complete answers of %d", b.name, resetUploads))
	}
}

// answerBroken answers with one of brokenAnswers, as the path names it.
func answerBroken(c net.Conn, path string) {
	for _, b := range brokenAnswers {
		if path == "/open/"+b.name {
			b.write(c)
			return
		}
	}
	_, _ = io.WriteString(c, goodAnswer)
}

// TestInvalidStatusIsNoAnswer guards against a status that HTTP does not define and that
// reaches the caller as an answer.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	a := newBrokenTargetFleet(t, "tls", func(c net.Conn, path string) {
		if status := strings.TrimPrefix(path, "/open/"); status != "good" {
			_, _ = io.WriteString(c, strings.Replace(goodAnswer, "200", status, 1))
			return
		}
		_, _ = io.WriteString(c, goodAnswer)
	})
	for _, status := range []string{"000", "099", "100", "101", "199", "600", "999"} {
		r := a.send("POST", "/open/"+status, nil, nil)
		qt.Check(t, r.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s: %v", status, r.err))
		qt.Check(t, r.header.Get("Primrose-Outcome"), qt.Equals, "unknown", qt.Commentf("%s", status))
		qt.Check(t, r.body, qt.Contains, `"lost"`, qt.Commentf("%s", status))
	}
	qt.Check(t, a.send("GET", "/open/good", nil, nil).status, qt.Equals, http.StatusOK)
}
