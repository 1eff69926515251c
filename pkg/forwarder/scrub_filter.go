package forwarder

import (
	"net/http"
	"net/url"
	"regexp"
	"strings"

	"github.com/primrosewall/primrosewall/pkg/declarer"
)

// scrubFilter finds the caller's key and the call id, and removes from the
// request everything that a target must not see: the key wherever it stands,
// headers of our own, and headers that concern only the caller's connection.
type scrubFilter struct{ forwarder *Forwarder }

// KeyPrefix begins every key that "primrose key give" makes.
const KeyPrefix = "pwk_"

// minKey is the least length of a text that is looked for as a key.
const minKey = 8

// keyPattern finds keys of our making anywhere in a text.
var keyPattern = regexp.MustCompile(KeyPrefix + `[A-Za-z0-9_-]{16,}`)

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// credentialHeaders carry keys, ours or others; none reaches a target.
var credentialHeaders = []string{"Authorization", "X-Api-Key", HeaderKey}

// Serve implements Filter.
func (s *scrubFilter) Serve(x *Exchange, next func(*Exchange)) {
	h := x.request.Header
	switch x.request.Method {
	case http.MethodTrace, http.MethodConnect:
		x.refuse(refuse(http.StatusMethodNotAllowed, ReasonRequest, 0, "method %s is not served", x.request.Method))
		return
	}
	message, refusal := s.forwarder.deps.Dialect.Receive(x.request)
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	scrubCookies(h, message.Key)
	scrubHeaders(h, message.Key)
	x.request.Trailer = nil
	if message.Key != "" {
		x.keyHash = hashOf(message.Key)
	}
	if message.CallID != "" {
		x.parent = s.forwarder.flights.find(message.CallID)
	}
	x.hop.Id = message.ID
	x.hop.Call = x.parent != nil || (message.FromTarget && message.Key == "")
	x.hop.Caller = s.forwarder.deps.Service()
	if message.Timeout > 0 {
		x.deadline = x.began.Add(message.Timeout)
		x.stated = true
	}
	next(x)
}

// callerKey returns the key that a caller presents.
func callerKey(h http.Header) string {
	if key := h.Get(HeaderKey); key != "" {
		return key
	}
	authorization := h.Get("Authorization")
	scheme, rest, _ := strings.Cut(authorization, " ")
	switch {
	case strings.EqualFold(scheme, "Bearer"):
		return strings.TrimSpace(rest)
	case strings.EqualFold(scheme, "Basic"):
		r := http.Request{Header: http.Header{"Authorization": {authorization}}}
		_, password, _ := r.BasicAuth()
		return password
	}
	return ""
}

// RemoveConnectionHeaders removes what concerns only one connection, and
// every header of our own.
func RemoveConnectionHeaders(h http.Header) {
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
	removeOwn(h)
}

func removeHeaders(h http.Header) {
	RemoveConnectionHeaders(h)
	for _, name := range credentialHeaders {
		h.Del(name)
	}
}

// removeOwn removes every header of our own.
func removeOwn(h http.Header) {
	for name := range h {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), headerPrefix) {
			delete(h, name)
		}
	}
}

// holdsKey tells whether a text holds the caller's key or any key of ours,
// also when it is percent-encoded.
func holdsKey(text, key string) bool {
	if holdsPlain(text, key) {
		return true
	}
	if !strings.Contains(text, "%") {
		return false
	}
	decoded, err := url.QueryUnescape(text)
	return err != nil || holdsPlain(decoded, key)
}

func holdsPlain(text, key string) bool {
	return (len(key) >= minKey && strings.Contains(text, key)) || keyPattern.MatchString(text)
}

func scrubHeaders(h http.Header, key string) {
	for name, values := range h {
		for _, v := range values {
			if holdsKey(v, key) || holdsKey(name, key) {
				delete(h, name)
				break
			}
		}
	}
}

func scrubCookies(h http.Header, key string) {
	var kept []string
	for _, line := range h.Values("Cookie") {
		for _, part := range strings.Split(line, ";") {
			part = strings.TrimSpace(part)
			if part != "" && !holdsKey(part, key) {
				kept = append(kept, part)
			}
		}
	}
	h.Del("Cookie")
	if len(kept) > 0 {
		h.Set("Cookie", strings.Join(kept, "; "))
	}
}

func scrubQuery(u *url.URL, key string) {
	if u.RawQuery == "" {
		return
	}
	var kept []string
	for _, part := range strings.Split(u.RawQuery, "&") {
		if !holdsKey(part, key) {
			kept = append(kept, part)
		}
	}
	u.RawQuery = strings.Join(kept, "&")
}

// hashOf returns the bytes under which a key is declared.
func hashOf(key string) []byte {
	hash, err := declarer.DecodeHash(declarer.HashKey(key))
	if err != nil {
		return nil
	}
	return hash
}
