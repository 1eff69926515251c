package commander

import (
	"context"
	"os"
	"os/signal"
	"strings"

	"github.com/primrosewall/primrosewall/pkg/trialer"
)

var trialPage = helpPage{
	name:  "trial",
	short: "Run an experiment under load against nodes on this machine.",
	usage: "primrose trial [flags] PLAN...",
}

func runTrial(t *terminal, args []string) int {
	f := t.flags(trialPage)
	modes := f.String("ways", "nodes,bare", "what to run it against, a `list` of nodes and bare")
	seed := f.Uint64("seed", 1, "`seed` of the arrivals")
	folder := f.String("save", "", "`folder` for reports in JSON and plots")
	if code, ok := t.parseFlags(f, args, 1, 100); !ok {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var reports []*trialer.Report
	for _, file := range f.Args() {
		source, err := os.ReadFile(file)
		if err != nil {
			return t.fail(err)
		}
		plan, err := trialer.Parse(file, source)
		if err != nil {
			return t.fail(err)
		}
		for _, mode := range strings.Split(*modes, ",") {
			report, err := trialer.Run(ctx, plan, mode, *seed)
			if err != nil {
				return t.fail(err)
			}
			reports = append(reports, report)
		}
	}
	trialer.Table(t.out, reports)
	if *folder != "" {
		if err := trialer.Save(*folder, reports); err != nil {
			return t.fail(err)
		}
	}
	return exitOK
}
