package server

import (
	"encoding/hex"
	"strings"
)

// verdicts logs which requests are refused for the crashes at which they ran.
type verdicts struct{ server *Server }

// Barred implements quarantiner.Listener.
func (v *verdicts) Barred(digest []byte, crashes, cleared []string) {
	v.server.log.Warn("bar", "digest", hex.EncodeToString(digest), "crashes", strings.Join(crashes, ","), "cleared", strings.Join(cleared, ","))
	v.server.count("bars", 1)
}
