package forwarder

import (
	"net/http"
	"net/url"
	"regexp"
	"strings"

	"github.com/primrosewall/primrosewall/pkg/declarer"
)

// scrubFilter reads the caller's key and the call id, and removes from the request
// what a target must not see: keys in headers, cookies and the query, headers of
// this system, and headers that apply only to the caller's connection.
type scrubFilter struct{ forwarder *Forwarder }

// KeyPrefix is the prefix of every key that "primrose key give" creates.
const KeyPrefix = "pwk_"

// minKeyLength is the shortest caller's key, in bytes, that is searched for in the
// rest of the request.
const minKeyLength = 8

// keyPattern matches keys with KeyPrefix anywhere in a text.
var keyPattern = regexp.MustCompile(KeyPrefix + `[A-Za-z0-9_-]{16,}`)

// connectionHeaders apply only to a single connection and are not forwarded.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// credentialHeaders carry keys of this or another system; none is forwarded to a
// target.
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

// callerKey returns the caller's key from HeaderKey, or from the header
// Authorization: the bearer token, or the password of basic authentication.
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

// RemoveConnectionHeaders removes the headers that apply only to a single
// connection, and every header of this system.
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

// removePrefixedHeaders removes every header of this system.
func removePrefixedHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), headerPrefix) {
			delete(h, name)
		}
	}
}

// containsKey reports whether a text, as it is or percent-decoded, contains the
// caller's key or any key with KeyPrefix. It also reports true for a text that
// cannot be decoded.
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

// scrubQuery removes the query parameters that contain a key.
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

// hashKey returns the hash by which the declaration identifies a key.
func hashKey(key string) []byte {
	hash, err := declarer.DecodeHash(declarer.HashKey(key))
	if err != nil {
		return nil
	}
	return hash
}
