package commander

import (
	"fmt"
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

var confirmPage = helpPage{
	name:  "confirm",
	short: "Put a plan into force. It is safe to confirm again after a lost answer.",
	usage: "primrose confirm [flags] ID",
}

func runConfirm(t *terminal, args []string) int {
	var c connection
	var plans planFolder
	f := t.flags(confirmPage)
	c.registerFlags(f)
	f.StringVar(&plans.path, "plans", defaultFolder(), "`folder` that keeps plans until they are confirmed")
	f.Lookup("plans").DefValue = ""
	if code, ok := t.parseFlags(f, args, 1, 1); !ok {
		return code
	}
	p, err := plans.load(f.Arg(0))
	if err != nil {
		return t.fail(err)
	}
	client, err := c.client()
	if err != nil {
		return t.fail(err)
	}
	ctx, cancel := callContext()
	defer cancel()
	if d := p.Drain; d != nil {
		reply, err := client.Drain(ctx, &control.DrainRequest{Centre: d.Centre, Begin: d.Begin, Id: p.ID, Base: p.Base})
		return t.reportChange(reply, err)
	}
	reply, err := client.Confirm(ctx, &control.ConfirmRequest{Id: p.ID, Base: p.Base, Declaration: p.Declaration})
	return t.reportChange(reply, err)
}

// reportChange prints the result of a proposed change and returns the exit code.
func (t *terminal) reportChange(reply *control.ProposeReply, err error) int {
	switch {
	case err != nil:
		return t.fail(err)
	case reply.Conflict != nil:
		conflict := reply.Conflict
		fmt.Fprintf(t.err, "primrose: conflict: %s made version %d at %s; plan again\n", conflict.Operator, conflict.Version, time.Unix(0, conflict.Time).UTC().Format(time.RFC3339))
		return exitConflict
	case reply.Refused != "":
		return t.fail(fmt.Errorf("%s", reply.Refused))
	case reply.Repeated:
		fmt.Fprintf(t.out, "version %d holds this change already\n", reply.Version)
	default:
		fmt.Fprintf(t.out, "version %d is accepted\n", reply.Version)
	}
	return exitOK
}
