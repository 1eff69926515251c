package test

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// sendRaw sends bytes and returns the status of the response, or 0 when the
// connection was closed without one.
func (n *node) sendRaw(text string) int {
	c, err := net.Dial("tcp", n.listen)
	n.fleet.Assert(err, qt.IsNil)
	defer c.Close()
	n.fleet.Assert(c.SetDeadline(time.Now().Add(waitTimeout)), qt.IsNil)
	// The server may respond and close before it has read everything.
	_, _ = io.WriteString(c, text)
	_ = c.(*net.TCPConn).CloseWrite()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// TestBadInput sends malformed and hostile requests. Each must be rejected with
// the right status and must not reach a target.
func TestBadInput(t *testing.T) {
	f, a, b, c := newThreeNodeFleet(t)
	key, _ := a.issueKey("acme")
	f.waitForTokens(a, "/back", key)
	authorization := "Host: x\r\nAuthorization: Bearer " + key + "\r\n"
	for name, input := range map[string]struct {
		text   string
		status []int
	}{
		"oversize header":                       {"GET /back/bad HTTP/1.1\r\n" + authorization + "X-Long: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", []int{431}},
		"duplicate Authorization":               {"GET /back/bad HTTP/1.1\r\n" + authorization + "Authorization: Bearer other\r\n\r\n", []int{400}},
		"duplicate idempotency key":             {"POST /back/bad HTTP/1.1\r\n" + authorization + "Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n", []int{400}},
		"conflicting Content-Length":            {"POST /back/bad HTTP/1.1\r\n" + authorization + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde", []int{400}},
		"Transfer-Encoding with Content-Length": {"POST /back/bad HTTP/1.1\r\n" + authorization + "Transfer-Encoding: xchunked\r\nContent-Length: 3\r\n\r\nabc", []int{400, 501}},
		"truncated body":                        {"POST /back/bad HTTP/1.1\r\n" + authorization + "Content-Length: 100\r\n\r\nabc", []int{400}},
		"malformed request line":                {"hello\r\n\r\n", []int{400}},
		"trace":                                 {"TRACE /back/bad HTTP/1.1\r\n" + authorization + "\r\n", []int{405}},
		"key in the path":                       {"GET /back/bad/" + key + " HTTP/1.1\r\n" + authorization + "\r\n", []int{400}},
	} {
		got := a.sendRaw(input.text)
		f.Check(input.status, qt.Any(qt.Equals), got, qt.Commentf("%s: %d", name, got))
	}
	// A long body that ends early may reach the target, but not as a complete
	// request.
	a.sendRaw("POST /back/cut HTTP/1.1\r\n" + authorization + "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 50000))
	for _, n := range []*node{b, c} {
		for _, s := range n.received() {
			f.Check(s.URL, qt.Not(qt.Contains), "/bad")
		}
	}
	f.Assert(a.send("GET", "/back/good", nil, bearerHeader(key)).status, qt.Equals, 200)
}

// TestPeerListenerRejectsUnauthenticated contacts a node's peer listener without
// the fleet secret, over TCP and UDP. Each attempt must fail, and the datagram must
// be counted as forged.
func TestPeerListenerRejectsUnauthenticated(t *testing.T) {
	f, a, _, _ := newThreeNodeFleet(t)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	for _, path := range []string{"/twirp/primrose.control.Peer/Fetch", "/back/x"} {
		_, err := client.Post("https://"+a.peer+path, "application/protobuf", nil)
		f.Assert(err, qt.IsNotNil)
	}
	u, err := net.Dial("udp", a.peer)
	f.Assert(err, qt.IsNil)
	defer u.Close()
	_, err = u.Write([]byte(strings.Repeat("unknown sender", 10)))
	f.Assert(err, qt.IsNil)
	f.waitUntil("the datagram is counted as forged", func() bool { return a.metric("gossip_forged") == 1 })
	f.Assert(a.metric("members"), qt.Equals, 3.0)
}

// TestBadDataFolder starts a replica on data folders that belong to another
// instance, are damaged or cannot be read. It must refuse to start, and must start
// with its data once the folder is restored.
func TestBadDataFolder(t *testing.T) {
	f := newFleet(t)
	n := f.add("a", "east", true)
	n.startDaemon()
	f.waitUntil("the node has the founding version", func() bool { return n.metric("version") == 1 })
	f.kill(n.daemon)
	data := f.path("a.data")
	for name, corruption := range map[string]struct {
		file      string
		corrupt   func(path string) error
		wantError string
	}{
		"of another instance": {"a.json", func(path string) error {
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			return os.WriteFile(path, []byte(strings.Replace(string(text), `"instance":"a"`, `"instance":"z"`, 1)), 0o600)
		}, "belongs to instance a, not to z"},
		"damaged":    {"a.data/register", func(path string) error { return flipLastByte(path) }, "checksum does not match"},
		"unreadable": {"a.data/chosen", func(path string) error { return replaceByFolder(path) }, "is a directory"},
	} {
		f.Assert(os.CopyFS(f.path("keep-"+name), os.DirFS(data)), qt.IsNil)
		settings, err := os.ReadFile(f.path("a.json"))
		f.Assert(err, qt.IsNil)
		f.Assert(corruption.corrupt(f.path(corruption.file)), qt.IsNil)
		out, err := exec.Command(filepath.Join(programFolder, "primrosed"), "-settings", f.path("a.json")).CombinedOutput()
		f.Check(err, qt.IsNotNil)
		f.Check(string(out), qt.Contains, corruption.wantError, qt.Commentf("%s", name))
		f.Assert(os.RemoveAll(data), qt.IsNil)
		f.Assert(os.CopyFS(data, os.DirFS(f.path("keep-"+name))), qt.IsNil)
		f.Assert(os.WriteFile(f.path("a.json"), settings, 0o600), qt.IsNil)
	}
	n.startDaemon()
	f.waitUntil("the node has its version again", func() bool { return n.metric("version") == 1 })
}

// flipLastByte flips the lowest bit of the last byte of a file.
func flipLastByte(path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	raw[len(raw)-1] ^= 1
	return os.WriteFile(path, raw, 0o600)
}

func replaceByFolder(path string) error {
	if err := os.Remove(path); err != nil {
		return err
	}
	if err := os.Mkdir(path, 0o700); err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	return nil
}
