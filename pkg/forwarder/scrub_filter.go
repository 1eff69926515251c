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
const minKeyLength = 8

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
	info, refusal := s.forwarder.deps.Dialect.Receive(x.request)
	if refusal != nil {
		x.refuse(refusal)
		return
	}
	scrubCookies(h, info.Key)
	scrubHeaders(h, info.Key)
	x.request.Trailer = nil
	if info.Key != "" {
		x.keyHash = hashKey(info.Key)
	}
	if info.CallID != "" {
		x.parent = s.forwarder.inFlightTable.find(info.CallID)
	}
	x.hop.Id = info.ID
	x.hop.Call = x.parent != nil || (info.FromTarget && info.Key == "")
	x.hop.Caller = s.forwarder.deps.Service()
	if info.Timeout > 0 {
		x.deadline = x.startedAt.Add(info.Timeout)
		x.hasCallerTimeout = true
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
	removePrefixedHeaders(h)
}

func removeHeaders(h http.Header) {
	RemoveConnectionHeaders(h)
	for _, name := range credentialHeaders {
		h.Del(name)
	}
}

// removeOwn removes every header of our own.
func removePrefixedHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), headerPrefix) {
			delete(h, name)
		}
	}
}

// holdsKey tells whether a text holds the caller's key or any key of ours,
// also when it is percent-encoded.
func containsKey(text, key string) bool {
	if containsPlainKey(text, key) {
		return true
	}
	if !strings.Contains(text, "%") {
		return false
	}
	decoded, err := url.QueryUnescape(text)
	return err != nil || containsPlainKey(decoded, key)
}

func containsPlainKey(text, key string) bool {
	return (len(key) >= minKeyLength && strings.Contains(text, key)) || keyPattern.MatchString(text)
}

func scrubHeaders(h http.Header, key string) {
	for name, values := range h {
		for _, v := range values {
			if containsKey(v, key) || containsKey(name, key) {
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
			if part != "" && !containsKey(part, key) {
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
		if !containsKey(part, key) {
			kept = append(kept, part)
		}
	}
	u.RawQuery = strings.Join(kept, "&")
}

// hashOf returns the bytes under which a key is declared.
func hashKey(key string) []byte {
	hash, err := declarer.DecodeHash(declarer.HashKey(key))
	if err != nil {
		return nil
	}
	return hash
}
