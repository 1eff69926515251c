package server

import (
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosewall/primrosewall/pkg/forwarder"
	"github.com/primrosewall/primrosewall/pkg/quarantiner"
)

// verdicts logs which requests are refused for the crashes at which they ran.
type verdicts struct{ server *Server }

// Quarantined implements quarantiner.Listener.
func (v *verdicts) Quarantined(d quarantiner.Decision) { v.log("bar", "bars", d) }

// Cleared implements quarantiner.Listener.
func (v *verdicts) Cleared(d quarantiner.Decision) { v.log("unbar", "unbars", d) }

func (v *verdicts) log(event, counter string, d quarantiner.Decision) {
	v.server.log.Warn(event, "digest", hex.EncodeToString(d.Request), "crashes", crashNames(d.Crashes),
		"cleared", crashNames(d.Cleared), "age", d.Age)
	v.server.count(counter, 1)
}

// crashID names the crash of a target beside an instance.
func crashID(instance string, t *forwarder.Target) uint64 {
	return xxhash.Sum64String(instance + "/" + t.Service + "/" + t.Life)
}

func crashNames(ids []uint64) string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = fmt.Sprintf("%016x", id)
	}
	return strings.Join(names, ",")
}
