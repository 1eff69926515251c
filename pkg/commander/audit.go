package commander

import (
	"fmt"
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

var auditPage = helpPage{
	name:  "audit",
	short: "Show who changed what, when, and from which version.",
	usage: "primrose audit [flags]",
}

func runAudit(t *terminal, args []string) int {
	var c connection
	f := t.flags(auditPage)
	c.registerFlags(f)
	from := f.Uint64("from", 1, "first `version` to show")
	if code, ok := t.parseFlags(f, args, 0, 0); !ok {
		return code
	}
	client, err := c.client()
	if err != nil {
		return t.fail(err)
	}
	for next := *from; ; {
		ctx, cancel := callContext()
		reply, err := client.History(ctx, &control.HistoryRequest{From: next})
		cancel()
		if err != nil {
			return t.fail(err)
		}
		if len(reply.Changes) == 0 {
			return exitOK
		}
		for _, change := range reply.Changes {
			t.showChange(change)
			next = change.Version + 1
		}
	}
}

// showChange prints one entry of the audit trail.
func (t *terminal) showChange(c *control.Change) {
	at := "-"
	if c.Time != 0 {
		at = time.Unix(0, c.Time).UTC().Format(time.RFC3339)
	}
	fmt.Fprintf(t.out, "version=%d base=%d time=%s operator=%q id=%s\n", c.Version, c.Base, at, c.Operator, c.Id)
	for _, line := range c.Lines {
		fmt.Fprintln(t.out, "  "+line)
	}
}
