package forwarder

import (
	"bytes"
	"net/http"
	"net/url"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestFairSharesBetweenTeams checks an entry that may pass half of all requests, with
// many requests of one team and few of another: all requests of the small team
// pass, and the large team gets the rest of the half.
func TestFairSharesBetweenTeams(t *testing.T) {
	var s fairShares
	now := time.Unix(0, 0)
	key := shedKey{"tracker", "lookup", 1}
	passed := map[string]float64{}
	for i := range 20000 {
		now = now.Add(time.Millisecond)
		team := "large"
		if i%10 == 0 {
			team = "small"
		}
		part := s.recordArrival(key, team, 0.5, now)
		if i >= 10000 {
			passed[team] += part
		}
	}
	qt.Assert(t, passed["small"] > 990, qt.IsTrue, qt.Commentf("%v", passed))
	qt.Assert(t, passed["large"] > 3800 && passed["large"] < 4200, qt.IsTrue, qt.Commentf("%v", passed))
}

// TestShedLevelDecays checks that a shed level without new reports first stays
// unchanged and then falls to 0.
func TestShedLevelDecays(t *testing.T) {
	var l shedLevels
	now := time.Unix(0, 0)
	key := shedKey{"tracker", "lookup", 1}
	for range 50 {
		l.record(key, 200, now)
	}
	qt.Assert(t, l.get(key, now.Add(shedLevelHoldTime)) > 199, qt.IsTrue)
	qt.Assert(t, l.get(key, now.Add(shedLevelHoldTime+shedLevelDecayTime)), qt.Equals, 0.0)
}

// TestScrubRemovesKeysEverywhere checks that no key of this or another system remains
// in headers, cookies and the query.
func TestScrubRemovesKeysEverywhere(t *testing.T) {
	const key = "a-key-of-another-make"
	h := http.Header{
		"Cookie": {"a=1; k=" + key + "; pwk_abcdefghijklmnopqrstu=2", "b=3"}, "X-Note": {"has " + key},
		"X-Other": {"pwk_abcdefghijklmnopqrstu"}, "X-Plain": {"stays"}, "Authorization": {"Bearer " + key},
		"Proxy-Authorization": {"Bearer " + key}, "Connection": {"X-Mine"}, "X-Mine": {"1"}, "Primrose-Hop": {"forged"},
	}
	u := &url.URL{RawQuery: "a=1&k=" + url.QueryEscape(key) + "&" + "x=%70wk_abcdefghijklmnopqrstu&b=2"}
	removeHeaders(h)
	scrubCookies(h, key)
	scrubHeaders(h, key)
	scrubQuery(u, key)
	qt.Assert(t, h, qt.DeepEquals, http.Header{"Cookie": {"a=1; b=3"}, "X-Plain": {"stays"}})
	qt.Assert(t, u.RawQuery, qt.Equals, "a=1&b=2")
}

// TestPreventReplay checks that the transport cannot resend requests that it would
// otherwise resend after a broken connection.
func TestPreventReplay(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "DELETE", "POST", "PUT"} {
		r, err := http.NewRequest(method, "http://x", bytes.NewReader(nil))
		qt.Assert(t, err, qt.IsNil)
		r.Header.Set("Idempotency-Key", "a")
		preventReplay(r)
		qt.Assert(t, r.GetBody, qt.IsNil)
		_, known := r.Header["Idempotency-Key"]
		replayable := known || r.Body == nil || (method == "GET" || method == "HEAD") && r.Body == http.NoBody
		qt.Assert(t, replayable, qt.IsFalse, qt.Commentf("%s", method))
	}
}
