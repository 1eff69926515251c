package commander

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/primrosewall/primrosewall/pkg/checker"
	"github.com/primrosewall/primrosewall/pkg/declarer"
	"github.com/primrosewall/primrosewall/proto/control"
)

var checkPage = helpPage{
	name:  "check",
	short: "Check a declaration and show how it differs from the version in force.",
	usage: `primrose check [flags] FILE

Prints the first error, or else entries that can never match, limits that
contradict each other, and the differences. Changes nothing.
Exit codes: 0 nothing found, 1 an error, or the node did not answer, 2 wrong
arguments, 4 the declaration is valid and something was found.`,
}

func runCheck(t *terminal, args []string) int {
	var c connection
	f := t.flags(checkPage)
	c.registerFlags(f)
	offline := f.Bool("offline", false, "ask no node, and show no differences")
	if code, ok := t.parseFlags(f, args, 1, 1); !ok {
		return code
	}
	source, err := os.ReadFile(f.Arg(0))
	if err != nil {
		return t.fail(err)
	}
	declaration, document, err := declarer.ParseDocument(f.Arg(0), source)
	if err != nil {
		return t.fail(err)
	}
	findings := checker.Check(declaration)
	for _, finding := range findings {
		fmt.Fprintln(t.out, document.Problem(finding.Field, "%s", finding.Text))
	}
	if !*offline {
		if err := t.showDifferences(&c, declaration); err != nil {
			return t.fail(err)
		}
	}
	if len(findings) > 0 {
		return exitFindings
	}
	fmt.Fprintf(t.out, "%s: good, %d routes, %d teams\n", f.Arg(0), len(declaration.Routes), len(declaration.Teams))
	return exitOK
}

// showDifferences prints how a declaration differs from the version in force at a node.
func (t *terminal) showDifferences(c *connection, next *declarer.Declaration) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := callContext()
	defer cancel()
	value, err := client.Declaration(ctx, &control.FetchRequest{})
	if err != nil {
		return fmt.Errorf("read the version in force (-offline leaves it out): %w", err)
	}
	old := &declarer.Declaration{}
	if len(value.Declaration) > 0 {
		if err := json.Unmarshal(value.Declaration, old); err != nil {
			return fmt.Errorf("read the version in force: %w", err)
		}
	}
	if len(value.Document) > 0 {
		return errors.New("the version in force is a document of another interface; -offline checks without it")
	}
	lines := declarer.Diff(old, next)
	fmt.Fprintf(t.out, "differences from version %d:\n", value.Version)
	for _, line := range lines {
		fmt.Fprintln(t.out, "  "+line)
	}
	if len(lines) == 0 {
		fmt.Fprintln(t.out, "  none in data centres, teams and routes")
	}
	return nil
}
