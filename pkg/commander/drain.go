package commander

import (
	"fmt"
	"time"

	"github.com/primrosewall/primrosewall/proto/control"
)

var drainPage = helpPage{
	name:  "drain",
	short: "Send nothing more to the targets of a data centre, or end that.",
	usage: "primrose drain [flags] plan|begin|end CENTRE\n\nplan shows what a drain would change. begin and end make a plan with an id, which\nprimrose confirm puts into force.",
}

// The orders of the verb.
const (
	drainPlan  = "plan"
	drainBegin = "begin"
	drainEnd   = "end"
)

func runDrain(t *terminal, args []string) int {
	var c connection
	var plans planFolder
	f := t.flags(drainPage)
	c.registerFlags(f)
	f.StringVar(&plans.path, "plans", defaultFolder(), "`folder` that keeps plans until they are confirmed")
	f.Lookup("plans").DefValue = ""
	if code, ok := t.parseFlags(f, args, 2, 2); !ok {
		return code
	}
	order := f.Arg(0)
	if order != drainPlan && order != drainBegin && order != drainEnd {
		f.Usage()
		return exitUsage
	}
	client, err := c.client()
	if err != nil {
		return t.fail(err)
	}
	ctx, cancel := callContext()
	defer cancel()
	d := &savedDrain{Centre: f.Arg(1), Begin: order != drainEnd}
	reply, err := client.PlanDrain(ctx, &control.DrainRequest{Centre: d.Centre, Begin: d.Begin})
	if err != nil {
		return t.fail(err)
	}
	if reply.Refused != "" {
		return t.fail(fmt.Errorf("%s", reply.Refused))
	}
	if order == drainPlan {
		t.showPlan(reply)
		return exitOK
	}
	if err := plans.save(&savedPlan{ID: reply.Id, Base: reply.Base, Drain: d}); err != nil {
		return t.fail(err)
	}
	t.showPlan(reply)
	t.showConfirmation(reply)
	return exitOK
}

// showDrains prints the drained data centres, for the status.
func (t *terminal) showDrains(drains []*control.Drain) {
	for _, d := range drains {
		fmt.Fprintf(t.out, "centre %s is drained since %s by %s, from version %d\n",
			d.Centre, time.Unix(0, d.Since).UTC().Format(time.RFC3339), d.Operator, d.Version)
	}
}
