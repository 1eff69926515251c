package commander

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/primrosewall/primrosewall/pkg/emulator"
)

var targetPage = helpPage{
	name:  "target",
	short: "Run a stand-in target, to try things out.",
	usage: "primrose target [flags]",
}

func runTarget(t *terminal, args []string) int {
	var o emulator.Options
	f := t.flags(targetPage)
	f.StringVar(&o.Service, "service", "hello", "`name` of the service")
	f.StringVar(&o.Address, "listen", "127.0.0.1:7410", "`address` to listen on")
	f.StringVar(&o.Admin, "admin", "127.0.0.1:7402", "admin `address` of the own node")
	f.StringVar(&o.NodeEntry, "entry", "127.0.0.1:7400", "`address` of the own node for calls")
	f.StringVar(&o.Next, "next", "", "`path` of the next service to call")
	f.StringVar(&o.RecordFile, "record", "", "`file` that gets a line for each request")
	f.IntVar(&o.Slots, "slots", 10, "requests that run at once")
	f.IntVar(&o.SpareOneIn, "spare", 0, "answer one in so many crashing requests with 500 in place of a crash")
	f.IntVar(&o.DropEvery, "drop", 0, "close the connection of every so many requests unanswered")
	f.StringVar(&o.Limit, "limit", "", "`requests` a second that the target names as its limit")
	f.DurationVar(&o.ServiceTime, "time", time.Millisecond, "time that a request takes")
	f.DurationVar(&o.ColdTime, "cold", 0, "time after the start in which requests take four times as long")
	if code, ok := t.parseFlags(f, args, 0, 0); !ok {
		return code
	}
	target, err := emulator.New(o)
	if err != nil {
		return t.fail(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := target.Run(ctx); err != nil {
		return t.fail(err)
	}
	return exitOK
}
