package commander

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/proto/control"
)

var planPage = helpPage{
	name:  "plan",
	short: "Show what a declaration would change, and give the plan an id.",
	usage: "primrose plan [flags] FILE",
}

// planFolder is the local folder that keeps plans until they are confirmed.
type planFolder struct{ path string }

// savedPlan is the file format of a plan that waits for its confirmation.
type savedPlan struct {
	ID          string          `json:"id"`
	Base        uint64          `json:"base"`
	Declaration json.RawMessage `json:"declaration,omitempty"`
	// Drain is set in place of Declaration if the plan is an order for a data centre.
	Drain *savedDrain `json:"drain,omitempty"`
}

// savedDrain is the order of a plan for a data centre.
type savedDrain struct {
	Centre string `json:"centre"`
	Begin  bool   `json:"begin"`
}

// defaultFolder is in the user's cache folder, or else in the folder for temporary
// files.
func defaultFolder() string {
	base, err := os.UserCacheDir()
	if err != nil {
		base = os.TempDir()
	}
	return filepath.Join(base, "primrose")
}

func (f planFolder) planFile(id string) string { return filepath.Join(f.path, id+".json") }

func (f planFolder) save(p *savedPlan) error {
	text, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("encode plan: %w", err)
	}
	if err := os.MkdirAll(f.path, 0o700); err != nil {
		return fmt.Errorf("keep plan: %w", err)
	}
	if err := os.WriteFile(f.planFile(p.ID), text, 0o600); err != nil {
		return fmt.Errorf("keep plan: %w", err)
	}
	return nil
}

func (f planFolder) load(id string) (*savedPlan, error) {
	text, err := os.ReadFile(f.planFile(filepath.Base(id)))
	if err != nil {
		return nil, fmt.Errorf("no plan %s here; make it with primrose plan: %w", id, err)
	}
	p := &savedPlan{}
	if err := json.Unmarshal(text, p); err != nil {
		return nil, fmt.Errorf("plan %s is damaged: %w", id, err)
	}
	return p, nil
}

func runPlan(t *terminal, args []string) int {
	var c connection
	var plans planFolder
	f := t.flags(planPage)
	c.registerFlags(f)
	f.StringVar(&plans.path, "plans", defaultFolder(), "`folder` that keeps plans until they are confirmed")
	f.Lookup("plans").DefValue = ""
	if code, ok := t.parseFlags(f, args, 1, 1); !ok {
		return code
	}
	source, err := os.ReadFile(f.Arg(0))
	if err != nil {
		return t.fail(err)
	}
	declaration, err := declarer.Parse(f.Arg(0), source)
	if err != nil {
		return t.fail(err)
	}
	canonical, err := declaration.Canonical()
	if err != nil {
		return t.fail(err)
	}
	return t.plan(&c, plans, canonical)
}

// plan asks a node to plan a declaration, saves the plan and prints it.
func (t *terminal) plan(c *connection, plans planFolder, canonical []byte) int {
	client, err := c.client()
	if err != nil {
		return t.fail(err)
	}
	ctx, cancel := callContext()
	defer cancel()
	reply, err := client.Plan(ctx, &control.PlanRequest{Declaration: canonical})
	if err != nil {
		return t.fail(err)
	}
	if reply.Refused != "" {
		return t.fail(fmt.Errorf("%s", reply.Refused))
	}
	if err := plans.save(&savedPlan{ID: reply.Id, Base: reply.Base, Declaration: canonical}); err != nil {
		return t.fail(err)
	}
	t.showPlan(reply)
	t.showConfirmation(reply)
	return exitOK
}

// showPlan prints what a plan would change.
func (t *terminal) showPlan(reply *control.PlanReply) {
	fmt.Fprintf(t.out, "plan %s on version %d\n", reply.Id, reply.Base)
	for _, line := range reply.Lines {
		fmt.Fprintln(t.out, "  "+line)
	}
	if len(reply.Lines) == 0 {
		fmt.Fprintln(t.out, "  nothing changes")
	}
}

// showConfirmation prints how to put a plan into force.
func (t *terminal) showConfirmation(reply *control.PlanReply) {
	fmt.Fprintf(t.out, "to put it into force: primrose confirm %s\n", reply.Id)
}
