package server

import (
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosewall/primrosewall/pkg/forwarder"
	"github.com/primrosewall/primrosewall/pkg/quarantiner"
)

// quarantineLog logs and counts two kinds of decisions: to quarantine a request,
// which all nodes then reject because it ran at crashes of targets, and to clear
// one of crashes that it did not cause.
type quarantineLog struct{ server *Server }

// Quarantined implements quarantiner.Listener.
func (l *quarantineLog) Quarantined(d quarantiner.Decision) { l.log("bar", "bars", d) }

// Cleared implements quarantiner.Listener.
func (l *quarantineLog) Cleared(d quarantiner.Decision) { l.log("unbar", "unbars", d) }

func (l *quarantineLog) log(event, counter string, d quarantiner.Decision) {
	l.server.log.Warn(event, "digest", hex.EncodeToString(d.Request), "crashes", formatCrashIDs(d.Crashes),
		"cleared", formatCrashIDs(d.Cleared), "age", d.Age)
	l.server.countEvent(counter, 1)
}

// crashID identifies the crash of an instance's target.
func crashID(instance string, t *forwarder.Target) uint64 {
	return xxhash.Sum64String(instance + "/" + t.Service + "/" + t.Life)
}

// formatCrashIDs formats crash IDs for the log.
func formatCrashIDs(ids []uint64) string {
	texts := make([]string, len(ids))
	for i, id := range ids {
		texts[i] = fmt.Sprintf("%016x", id)
	}
	return strings.Join(texts, ",")
}
