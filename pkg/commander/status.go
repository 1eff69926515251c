package commander

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/primrosewall/primrosewall/pkg/healer"
	"github.com/primrosewall/primrosewall/proto/control"
)

var statusPage = helpPage{
	name:  "status",
	short: "Show the version in force at each instance, the replicas and drained data centres.",
	usage: "primrose status [flags]",
}

func runStatus(t *terminal, args []string) int {
	var c connection
	f := t.flags(statusPage)
	c.registerFlags(f)
	asJSON := f.Bool("json", false, "write JSON")
	if code, ok := t.parseFlags(f, args, 0, 0); !ok {
		return code
	}
	client, err := c.client()
	if err != nil {
		return t.fail(err)
	}
	ctx, cancel := callContext()
	defer cancel()
	reply, err := client.Status(ctx, &control.StatusRequest{})
	if err != nil {
		return t.fail(err)
	}
	if *asJSON {
		encoder := json.NewEncoder(t.out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(reply); err != nil {
			return t.fail(err)
		}
		return exitOK
	}
	t.showStatus(reply)
	return exitOK
}

// showStatus prints the instances as a table and a summary of the replicas.
func (t *terminal) showStatus(reply *control.StatusReply) {
	stale := 0
	table := tabwriter.NewWriter(t.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "CENTRE\tINSTANCE\tSTATE\tSERVICE\tSLOTS\tVERSION\tPACE\tREPLICA")
	for _, e := range reply.Entries {
		version := fmt.Sprint(e.Version)
		if e.Version < reply.Version {
			stale++
			version += " behind"
		}
		if e.Version == 0 {
			version = "unknown"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", e.Centre, e.Instance, stateName(e.State), orDash(e.Service), e.Slots, version, orDash(e.Pace), orDash(replicaName(reply, e)))
	}
	table.Flush()
	fmt.Fprintf(t.out, "version %d, in force at %d of %d instances; %d replicas in epoch %d bear the loss of %d\n",
		reply.Version, len(reply.Entries)-stale, len(reply.Entries), len(reply.Replicas), reply.Epoch, healer.ToleratedLosses(len(reply.Replicas)))
	t.showDrains(reply.Drains)
	if tolerance := int(reply.Tolerance); healer.ToleratedLosses(len(reply.Replicas)) < tolerance {
		fmt.Fprintf(t.out, "the loss of %d is to be borne: %d replicas are needed\n", tolerance, healer.RequiredReplicas(tolerance))
	}
}

// replicaName is the identity of the replica at an instance, "not in the set" if the
// instance has a data folder that is no replica, or "" if it has none.
func replicaName(reply *control.StatusReply, e *control.Entry) string {
	for _, m := range reply.Replicas {
		if m.Address == e.Address {
			return m.Identity
		}
	}
	if e.Replica {
		return "not in the set"
	}
	return ""
}

// stateName is the name of a state in lower case, without the enum's prefix.
func stateName(s control.State) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "STATE_"))
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
